#include <algorithm>
#include <set>
#include <string>

#include <node/evacuations.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::node {

namespace internal {

namespace {

[[nodiscard]] auto data_centre_of(const adapter::key_value& item) -> std::string {
    return item.m_key.substr(adapter::key::evacuations.size());
}

/*! @brief Merges an evacuation, and tells the role and the peers if it begins or ends one. */
auto apply(core& self, const std::string& data_centre, const fleet::store_version version, const bool is_active,
           const std::string_view source) -> void {
    if (!fleet::merge_evacuation(self.m_evacuations, data_centre, {version, is_active, steady_now()})) {
        return;
    }
    self.m_events.write(is_active ? "evacuation.begun" : "evacuation.ended",
                        {{"data_centre", data_centre},
                         {"region", region_of(self, data_centre)},
                         {"revision", static_cast<std::int64_t>(version.m_revision)},
                         {"source", source}});
    const auto active =
        std::ranges::count_if(self.m_evacuations, [](const auto& each) { return each.second.m_active; });
    self.m_counters.set("data_centres_evacuated", static_cast<double>(active));
    self.m_handlers.m_on_evacuation(data_centre);
    schedule_push(self, {});
}

} // namespace

} // namespace internal

auto on_evacuation_item(core& self, const adapter::key_value& item) -> void {
    internal::apply(self, internal::data_centre_of(item), item.m_version, !item.m_removed, "store");
}

auto on_evacuation_listing(core& self, const std::vector<adapter::key_value>& items, const fleet::store_version version)
    -> void {
    std::set<std::string, std::less<>> listed{};
    for (const auto& each : items) {
        if (each.m_key.starts_with(adapter::key::evacuations)) {
            listed.insert(internal::data_centre_of(each));
        }
    }
    for (const auto& data_centre : fleet::ended_evacuations(self.m_evacuations, listed, version)) {
        const auto end = [&self, data_centre, version] {
            internal::apply(self, data_centre, version, false, "listing");
        };
        const auto remaining = store_recovery_window - (steady_now() - self.m_store_era_since);
        if (self.m_store_era_since == time_point{} || remaining <= duration::zero()) {
            end();
        } else {
            self.m_loop.after(remaining, end);
        }
    }
}

auto accept_evacuations(core& self, const google::protobuf::RepeatedPtrField<wire::fleet::Evacuation>& told,
                        const std::string_view source) -> void {
    for (const auto& each : told) {
        // A sender that knows no era must not overrule what belongs to one.
        if (each.era() != 0U || self.m_store.era() == 0U) {
            internal::apply(self, each.data_centre(), {each.era(), each.revision()}, each.active(), source);
        }
    }
}

auto add_evacuations(const core& self, google::protobuf::RepeatedPtrField<wire::fleet::Evacuation>& out) -> void {
    for (const auto& [data_centre, value] : self.m_evacuations) {
        auto* const added = out.Add();
        added->set_data_centre(data_centre);
        added->set_era(value.m_version.m_era);
        added->set_revision(value.m_version.m_revision);
        added->set_active(value.m_active);
    }
}

} // namespace rhubarbwharf::node
