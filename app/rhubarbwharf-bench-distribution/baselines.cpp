#include <algorithm>
#include <cmath>

#include "baselines.hpp"

namespace rhubarbwharf::bench {

namespace {

[[nodiscard]] auto size_of(const workload& value) -> double {
    return value.m_chunks * value.m_chunk_bytes;
}

} // namespace

auto lower_bound_seconds(const workload& value) -> double {
    const auto size_bytes = size_of(value);
    const auto& speed = value.m_rates;
    auto seconds = std::max(size_bytes / speed.m_origin, size_bytes / speed.m_download);
    seconds = std::max(seconds, value.m_instances * size_bytes / (speed.m_origin + value.m_instances * speed.m_upload));
    if (value.m_regions > 1.0) {
        seconds = std::max(seconds, size_bytes / ((value.m_regions - 1.0) * speed.m_link));
    }
    return seconds;
}

auto origin_only_seconds(const workload& value) -> double {
    const auto size_bytes = size_of(value);
    const auto& speed = value.m_rates;
    auto seconds = std::max(value.m_instances * size_bytes / speed.m_origin, size_bytes / speed.m_download);
    if (value.m_regions > 1.0) {
        seconds = std::max(seconds, std::ceil(value.m_instances / value.m_regions) * size_bytes / speed.m_link);
    }
    return seconds;
}

auto chain_seconds(const workload& value) -> double {
    const auto& speed = value.m_rates;
    const auto local_rate = std::min(speed.m_upload, speed.m_download);
    const auto remote_rate = std::min(local_rate, speed.m_link);
    const auto bottleneck_rate = value.m_regions > 1.0 ? remote_rate : local_rate;
    const auto hops = (value.m_instances - value.m_regions) / local_rate + (value.m_regions - 1.0) / remote_rate;
    return (value.m_chunks - 1.0) * value.m_chunk_bytes / bottleneck_rate +
           value.m_chunk_bytes * (hops + 1.0 / local_rate);
}

auto tree_seconds(const workload& value) -> double {
    constexpr double degree = 2.0;
    const auto& speed = value.m_rates;
    const auto local_rate = std::min(speed.m_upload / degree, speed.m_download);
    const auto remote_rate = std::min(speed.m_link, speed.m_upload / degree);
    const auto bottleneck_rate = value.m_regions > 1.0 ? std::min(local_rate, remote_rate) : local_rate;
    const auto depth = std::floor(std::log2(std::max(1.0, std::ceil(value.m_instances / value.m_regions))));
    const auto origin_seconds = value.m_chunk_bytes / std::min(speed.m_origin, speed.m_download);
    const auto link_seconds = value.m_regions > 1.0 ? value.m_chunk_bytes / remote_rate : 0.0;
    return (value.m_chunks - 1.0) * value.m_chunk_bytes / bottleneck_rate + origin_seconds + link_seconds +
           depth * value.m_chunk_bytes / local_rate;
}

} // namespace rhubarbwharf::bench
