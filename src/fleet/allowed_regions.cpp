#include <algorithm>
#include <iterator>
#include <utility>

#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/fleet/allowed_regions.hpp>

namespace rhubarbwharf::fleet {

auto restrict_to(std::vector<std::string> names) -> allowed_regions {
    std::ranges::sort(names);
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return {true, std::move(names)};
}

auto intersect(const allowed_regions& left, const allowed_regions& right) -> allowed_regions {
    if (!left.m_is_restricted || !right.m_is_restricted) {
        return left.m_is_restricted ? left : right;
    }
    allowed_regions out{true, {}};
    std::ranges::set_intersection(left.m_names, right.m_names, std::back_inserter(out.m_names));
    return out;
}

auto allows(const allowed_regions& value, const std::string_view region) noexcept -> bool {
    return !value.m_is_restricted || std::ranges::find(value.m_names, region) != value.m_names.end();
}

auto group_of(const allowed_regions& value) noexcept -> std::uint64_t {
    if (!value.m_is_restricted) {
        return 0U;
    }
    auto out = std::uint64_t{1};
    for (const auto& each : value.m_names) {
        out = mix(out, stable_hash(each));
    }
    return out;
}

} // namespace rhubarbwharf::fleet
