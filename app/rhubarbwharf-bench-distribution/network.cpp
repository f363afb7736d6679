#include <algorithm>

#include "network.hpp"

namespace rhubarbwharf::bench {

namespace {

constexpr int sharing_rounds = 4;

[[nodiscard]] auto moves(const network& net, const flow& item) -> bool {
    return item.m_open && net.m_machines[item.m_from].m_moving && net.m_machines[item.m_to].m_moving;
}

[[nodiscard]] auto crosses(const network& net, const flow& item) -> bool {
    return net.m_machines[item.m_from].m_region != net.m_machines[item.m_to].m_region;
}

auto reset(network& net) -> void {
    for (auto& item : net.m_machines) {
        item.m_upload_left = item.m_upload;
        item.m_download_left = item.m_download;
        item.m_uploads = 0;
        item.m_downloads = 0;
    }
    for (auto& item : net.m_links) {
        item.m_left = item.m_rate;
        item.m_flows = 0;
    }
}

auto count(network& net, const bool crossing) -> void {
    for (auto& item : net.m_flows) {
        if (!moves(net, item) || crosses(net, item) != crossing) {
            continue;
        }
        item.m_rate = 0.0;
        ++net.m_machines[item.m_from].m_uploads;
        ++net.m_machines[item.m_to].m_downloads;
        if (auto* const used = link_between(net, item.m_from, item.m_to); used != nullptr) {
            ++used->m_flows;
        }
    }
}

/*! @brief Holds each gateway instance to its part of its link. */
auto limit(network& net) -> void {
    for (auto& item : net.m_flows) {
        const auto* const used = link_between(net, item.m_from, item.m_to);
        item.m_most_rate =
            item.m_width > 0U && used != nullptr ? used->m_rate / item.m_width : net.m_machines.back().m_upload;
        if (item.m_width == 0U || used == nullptr) {
            continue;
        }
        const auto same = std::ranges::count_if(net.m_flows, [&](const flow& other) {
            return other.m_open && other.m_to == item.m_to && link_between(net, other.m_from, other.m_to) == used;
        });
        item.m_most_rate /= static_cast<double>(same);
    }
}

/*! @brief Gives each flow an equal share of what is left of the tightest of its three limits, several times. */
auto share(network& net, const bool crossing) -> void {
    std::vector<double> parts(net.m_flows.size());
    for (int round = 0; round < sharing_rounds; ++round) {
        for (std::size_t index = 0; index < net.m_flows.size(); ++index) {
            const auto& item = net.m_flows[index];
            parts[index] = 0.0;
            if (!moves(net, item) || crosses(net, item) != crossing) {
                continue;
            }
            const auto& from = net.m_machines[item.m_from];
            const auto& to = net.m_machines[item.m_to];
            parts[index] = std::min(from.m_upload_left / from.m_uploads, to.m_download_left / to.m_downloads);
            parts[index] = std::min(parts[index], item.m_most_rate - item.m_rate);
            if (const auto* const used = link_between(net, item.m_from, item.m_to); used != nullptr) {
                parts[index] = std::min(parts[index], used->m_left / used->m_flows);
            }
        }
        for (std::size_t index = 0; index < net.m_flows.size(); ++index) {
            auto& item = net.m_flows[index];
            const auto part = parts[index];
            item.m_rate += part;
            net.m_machines[item.m_from].m_upload_left -= part;
            net.m_machines[item.m_to].m_download_left -= part;
            if (auto* const used = link_between(net, item.m_from, item.m_to); used != nullptr) {
                used->m_left -= part;
            }
        }
    }
}

} // namespace

auto make_network(const std::uint32_t instances, const std::uint32_t regions, const rates& speed) -> network {
    network net{};
    net.m_regions = regions;
    for (std::uint32_t index = 0; index < instances; ++index) {
        net.m_machines.push_back({index % regions, speed.m_upload, speed.m_download});
    }
    net.m_machines.push_back({0U, speed.m_origin, 0.0});
    net.m_links.resize(std::size_t{regions} * regions);
    std::ranges::for_each(net.m_links, [&speed](link& item) { item.m_rate = speed.m_link; });
    return net;
}

auto link_between(network& net, const std::uint32_t from, const std::uint32_t to) -> link* {
    const auto near = net.m_machines[from].m_region;
    const auto far = net.m_machines[to].m_region;
    return near == far ? nullptr : &net.m_links[std::size_t{near} * net.m_regions + far];
}

auto advance(network& net, const double seconds, const double chunk_bytes) -> void {
    std::erase_if(net.m_flows, [](const flow& item) { return !item.m_open; });
    reset(net);
    limit(net);
    for (const auto crossing : {true, false}) {
        count(net, crossing);
        share(net, crossing);
    }
    net.m_done.clear();
    for (auto& item : net.m_flows) {
        if (!moves(net, item)) {
            continue;
        }
        item.m_bytes_left -= item.m_rate * seconds;
        if (item.m_bytes_left <= chunk_bytes * 1e-9) {
            item.m_open = false;
            net.m_done.push_back(item);
        }
        if (auto* const used = link_between(net, item.m_from, item.m_to); used != nullptr) {
            used->m_bytes += item.m_rate * seconds;
        }
    }
}

} // namespace rhubarbwharf::bench
