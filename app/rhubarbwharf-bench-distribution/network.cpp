#include <algorithm>

#include "network.hpp"

namespace rhubarbwharf::bench {

namespace {

constexpr int sharing_rounds = 4;

[[nodiscard]] auto is_transferring(const network& net, const flow& item) -> bool {
    return item.m_active && net.m_machines[item.m_from].m_transferring && net.m_machines[item.m_to].m_transferring;
}

[[nodiscard]] auto crosses_regions(const network& net, const flow& item) -> bool {
    return net.m_machines[item.m_from].m_region != net.m_machines[item.m_to].m_region;
}

auto reset_capacity(network& net) -> void {
    for (auto& item : net.m_machines) {
        item.m_remaining_upload = item.m_upload;
        item.m_remaining_download = item.m_download;
        item.m_upload_count = 0;
        item.m_download_count = 0;
    }
    for (auto& item : net.m_links) {
        item.m_remaining_rate = item.m_rate;
        item.m_flow_count = 0;
    }
}

auto count_flows(network& net, const bool crossing) -> void {
    for (auto& item : net.m_flows) {
        if (!is_transferring(net, item) || crosses_regions(net, item) != crossing) {
            continue;
        }
        item.m_rate = 0.0;
        ++net.m_machines[item.m_from].m_upload_count;
        ++net.m_machines[item.m_to].m_download_count;
        if (auto* const used_link = link_between(net, item.m_from, item.m_to); used_link != nullptr) {
            ++used_link->m_flow_count;
        }
    }
}

/*! @brief Limits each gateway to its share of the link, divided equally among its own flows on that link. */
auto limit_gateway_rates(network& net) -> void {
    for (auto& item : net.m_flows) {
        const auto* const used_link = link_between(net, item.m_from, item.m_to);
        item.m_max_rate = item.m_sharing_receivers > 0U && used_link != nullptr
                              ? used_link->m_rate / item.m_sharing_receivers
                              : net.m_machines.back().m_upload;
        if (item.m_sharing_receivers == 0U || used_link == nullptr) {
            continue;
        }
        const auto receiver_flows = std::ranges::count_if(net.m_flows, [&](const flow& other) {
            return other.m_active && other.m_to == item.m_to &&
                   link_between(net, other.m_from, other.m_to) == used_link;
        });
        item.m_max_rate /= static_cast<double>(receiver_flows);
    }
}

/*! @brief Approximates max-min fairness: in each round, a flow gets the smallest equal share of the remaining upload,
 * download and link rate, up to its maximum rate. */
auto share_capacity(network& net, const bool crossing) -> void {
    std::vector<double> rate_shares(net.m_flows.size());
    for (int round = 0; round < sharing_rounds; ++round) {
        for (std::size_t index = 0; index < net.m_flows.size(); ++index) {
            const auto& item = net.m_flows[index];
            rate_shares[index] = 0.0;
            if (!is_transferring(net, item) || crosses_regions(net, item) != crossing) {
                continue;
            }
            const auto& from = net.m_machines[item.m_from];
            const auto& to = net.m_machines[item.m_to];
            rate_shares[index] =
                std::min(from.m_remaining_upload / from.m_upload_count, to.m_remaining_download / to.m_download_count);
            rate_shares[index] = std::min(rate_shares[index], item.m_max_rate - item.m_rate);
            if (const auto* const used_link = link_between(net, item.m_from, item.m_to); used_link != nullptr) {
                rate_shares[index] =
                    std::min(rate_shares[index], used_link->m_remaining_rate / used_link->m_flow_count);
            }
        }
        for (std::size_t index = 0; index < net.m_flows.size(); ++index) {
            auto& item = net.m_flows[index];
            const auto rate_share = rate_shares[index];
            item.m_rate += rate_share;
            net.m_machines[item.m_from].m_remaining_upload -= rate_share;
            net.m_machines[item.m_to].m_remaining_download -= rate_share;
            if (auto* const used_link = link_between(net, item.m_from, item.m_to); used_link != nullptr) {
                used_link->m_remaining_rate -= rate_share;
            }
        }
    }
}

} // namespace

auto make_network(const std::uint32_t instances, const std::uint32_t regions, const rates& bandwidth) -> network {
    network net{};
    net.m_regions = regions;
    for (std::uint32_t index = 0; index < instances; ++index) {
        net.m_machines.push_back({index % regions, bandwidth.m_upload, bandwidth.m_download});
    }
    net.m_machines.push_back({0U, bandwidth.m_origin, 0.0});
    net.m_links.resize(std::size_t{regions} * regions);
    std::ranges::for_each(net.m_links, [&bandwidth](link& item) { item.m_rate = bandwidth.m_link; });
    return net;
}

auto link_between(network& net, const std::uint32_t from, const std::uint32_t to) -> link* {
    const auto from_region = net.m_machines[from].m_region;
    const auto to_region = net.m_machines[to].m_region;
    return from_region == to_region ? nullptr : &net.m_links[std::size_t{from_region} * net.m_regions + to_region];
}

auto advance(network& net, const double seconds, const double chunk_bytes) -> void {
    std::erase_if(net.m_flows, [](const flow& item) { return !item.m_active; });
    reset_capacity(net);
    limit_gateway_rates(net);
    for (const auto crossing : {true, false}) {
        count_flows(net, crossing);
        share_capacity(net, crossing);
    }
    net.m_completed.clear();
    for (auto& item : net.m_flows) {
        if (!is_transferring(net, item)) {
            continue;
        }
        item.m_remaining_bytes -= item.m_rate * seconds;
        if (item.m_remaining_bytes <= chunk_bytes * 1e-9) {
            item.m_active = false;
            net.m_completed.push_back(item);
        }
        if (auto* const used_link = link_between(net, item.m_from, item.m_to); used_link != nullptr) {
            used_link->m_transferred_bytes += item.m_rate * seconds;
        }
    }
}

} // namespace rhubarbwharf::bench
