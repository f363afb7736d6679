#include <algorithm>
#include <cmath>

#include "baselines.hpp"

namespace rhubarbwharf::bench {

namespace {

[[nodiscard]] auto size_of(const load& value) -> double {
    return value.m_chunks * value.m_chunk_bytes;
}

} // namespace

auto bound(const load& value) -> double {
    const auto size = size_of(value);
    const auto& speed = value.m_rates;
    auto seconds = std::max(size / speed.m_origin, size / speed.m_download);
    seconds = std::max(seconds, value.m_instances * size / (speed.m_origin + value.m_instances * speed.m_upload));
    if (value.m_regions > 1.0) {
        seconds = std::max(seconds, size / ((value.m_regions - 1.0) * speed.m_link));
    }
    return seconds;
}

auto origin_only(const load& value) -> double {
    const auto size = size_of(value);
    const auto& speed = value.m_rates;
    auto seconds = std::max(value.m_instances * size / speed.m_origin, size / speed.m_download);
    if (value.m_regions > 1.0) {
        seconds = std::max(seconds, std::ceil(value.m_instances / value.m_regions) * size / speed.m_link);
    }
    return seconds;
}

auto chain(const load& value) -> double {
    const auto& speed = value.m_rates;
    const auto near = std::min(speed.m_upload, speed.m_download);
    const auto far = std::min(near, speed.m_link);
    const auto slowest = value.m_regions > 1.0 ? far : near;
    const auto hops = (value.m_instances - value.m_regions) / near + (value.m_regions - 1.0) / far;
    return (value.m_chunks - 1.0) * value.m_chunk_bytes / slowest + value.m_chunk_bytes * (hops + 1.0 / near);
}

auto tree(const load& value) -> double {
    constexpr double degree = 2.0;
    const auto& speed = value.m_rates;
    const auto near = std::min(speed.m_upload / degree, speed.m_download);
    const auto far = std::min(speed.m_link, speed.m_upload / degree);
    const auto slowest = value.m_regions > 1.0 ? std::min(near, far) : near;
    const auto depth = std::floor(std::log2(std::max(1.0, std::ceil(value.m_instances / value.m_regions))));
    const auto first = value.m_chunk_bytes / std::min(speed.m_origin, speed.m_download);
    const auto across = value.m_regions > 1.0 ? value.m_chunk_bytes / far : 0.0;
    return (value.m_chunks - 1.0) * value.m_chunk_bytes / slowest + first + across + depth * value.m_chunk_bytes / near;
}

} // namespace rhubarbwharf::bench
