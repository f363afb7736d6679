#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include <fleet.pb.h>
#include <node/boot_clock.hpp>
#include <node/store_version.hpp>
#include <rhubarbwharf/fleet/region.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Time after which the answer of another gateway is no longer waited for: several round trips between regions.
 */
constexpr duration version_answer_time = std::chrono::milliseconds{60};
/*! @brief Delay before the watches are checked again after a check that failed. */
constexpr duration check_retry_delay = std::chrono::milliseconds{200};

namespace {

/*! @brief Records that all changes up to a time are known. */
auto note_known_until(core& self, const time_point until) -> void {
    if (!self.m_store_known_until || *self.m_store_known_until < until) {
        self.m_store_known_until = until;
    }
}

/*! @brief State of a check of both watches. */
struct watch_check {
    time_point m_requested_at{};
    unsigned m_pending{};
    /*! @brief Lowest version up to which a watch has delivered all changes; none if one could not be checked. */
    std::optional<fleet::store_version> m_version{};
    bool m_failed{false};
    /*! @brief Whether it repeats a check that failed; the next version that is told leads to further ones. */
    bool m_is_repetition{false};
};

auto check_watches(core& self, bool is_repetition) -> void;

/*! @brief Checks the watches again soon, once, unless the store does not answer. */
auto repeat_check(core& self) -> void {
    self.m_loop.after(check_retry_delay, [&self] {
        const auto answers = self.m_answered_store_probe == self.m_store_probes;
        if (answers && self.m_watches_store && self.m_watch_check_failed) {
            check_watches(self, true);
        }
    });
}

auto on_watch_checked(core& self, watch_check& check, const std::optional<fleet::store_version> version) -> void {
    check.m_failed = check.m_failed || !version;
    if (version) {
        check.m_version = check.m_version ? std::min(*check.m_version, *version) : *version;
    }
    if (--check.m_pending > 0U) {
        return;
    }
    self.m_watch_check_active = false;
    self.m_watch_check_failed = check.m_failed;
    if (check.m_failed) {
        self.m_counters.add("store_watch_checks_failed_total");
        if (!check.m_is_repetition) {
            repeat_check(self);
        }
        return;
    }
    fleet::settle(self.m_change_account, *check.m_version);
    note_known_until(self, check.m_requested_at);
}

/*! @brief Checks both watches. Changes count as known only once both have been answered. */
auto check_watches(core& self, const bool is_repetition) -> void {
    if (std::exchange(self.m_watch_check_active, true)) {
        return;
    }
    self.m_counters.add("store_watch_checks_total");
    const std::array followers{self.m_operator_follower, self.m_server_follower};
    auto check = std::make_shared<watch_check>();
    check->m_requested_at = boot_now();
    check->m_is_repetition = is_repetition;
    check->m_pending = static_cast<unsigned>(followers.size());
    for (const auto& each : followers) {
        each->check([&self, check](const std::optional<fleet::store_version> version) {
            on_watch_checked(self, *check, version);
        });
    }
}

/*! @brief Records the version if all changes up to it were delivered. @return Whether they were. */
auto is_delivered(core& self, const fleet::store_version told, const std::optional<time_point> as_of) -> bool {
    if (!fleet::accounts_for(self.m_change_account, told)) {
        return false;
    }
    if (as_of) {
        note_known_until(self, *as_of);
    }
    return true;
}

/*! @brief Keeps a version for gateways that ask for it. */
auto keep_version(core& self, const fleet::store_version told, const time_point as_of) -> void {
    if (!self.m_told_version || self.m_told_version->m_as_of < as_of) {
        self.m_told_version = told_store_version{told, as_of};
    }
}

/*! @brief Answers a request for the store's version with the last one that was read. */
auto answer_version_request(core& self, const std::string_view peer, const std::uint64_t number) -> void {
    const auto& told = *self.m_told_version;
    wire::fleet::Frame frame{};
    auto& answer = *frame.mutable_store_version();
    answer.set_answers(number);
    answer.set_era(told.m_version.m_era);
    answer.set_revision(told.m_version.m_revision);
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(boot_now() - told.m_as_of);
    answer.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)));
    connect_to_gateway(self, peer);
    send(self, peer, frame);
}

/*! @brief Reads the version if it has not been learned from another gateway. In an outage, in which all gateways come
 * to watch, the cheaper probes suffice: a read is sent only if the store has answered one of the last two. */
auto read_version_if_needed(core& self) -> void {
    const auto now = boot_now();
    const auto is_recent = self.m_told_version && !must_read_version(now - self.m_told_version->m_as_of);
    const auto has_answered = self.m_answered_store_probe + 1U >= self.m_store_probes;
    if (!self.m_watches_store || is_recent || !has_answered) {
        return;
    }
    self.m_counters.add("store_version_reads_total");
    self.m_store.read_version(adapter::read_consistency::linearizable, [&self, now](const adapter::page& page) {
        if (page.m_reply == adapter::reply::ok) {
            note_store_version(self, page.m_version, now);
        }
    });
}

} // namespace

auto on_store_version_request(core& self, const std::string_view from, const wire::fleet::StoreVersionRequest& message)
    -> void {
    self.m_version_requesters.insert_or_assign(std::string{from}, store_version_request{message.number(), boot_now()});
    if (self.m_told_version) {
        answer_version_request(self, from, message.number());
    }
}

auto on_store_version(core& self, const wire::fleet::StoreVersion& message) -> void {
    if (message.era() != self.m_store.era()) {
        return;
    }
    const fleet::store_version told{message.era(), message.revision()};
    const auto as_of = self.m_version_requested_at - std::chrono::milliseconds{message.age_ms()};
    const auto is_bounded = message.answers() == self.m_version_requests;
    note_store_version(self, told, is_bounded ? std::optional{as_of} : std::nullopt);
}

} // namespace internal

auto must_read_version(const duration age) noexcept -> bool {
    return age + store_probe_interval > max_version_age;
}

auto is_version_reader(const core& self) -> bool {
    const auto* const reader = fleet::store_version_reader(self.m_members, steady_now());
    return reader != nullptr && reader->m_instance == self.m_self.m_instance;
}

auto tell_version_requesters(core& self) -> void {
    const auto now = boot_now();
    std::erase_if(self.m_version_requesters,
                  [now](const auto& each) { return now - each.second.m_arrived_at > max_version_age; });
    for (const auto& [name, request] : self.m_version_requesters) {
        internal::answer_version_request(self, name, request.m_number);
    }
}

auto note_store_version(core& self, const fleet::store_version told, const std::optional<time_point> as_of) -> void {
    if (as_of) {
        internal::keep_version(self, told, *as_of);
    }
    if (!self.m_watches_store || internal::is_delivered(self, told, as_of)) {
        return;
    }
    const auto delay = self.m_watch_check_failed ? duration::zero() : max_delivery_time;
    self.m_loop.after(delay, [&self, told, as_of] {
        if (self.m_watches_store && !internal::is_delivered(self, told, as_of)) {
            internal::check_watches(self, false);
        }
    });
}

auto request_store_version(core& self) -> void {
    if (const auto* const reader = fleet::store_version_reader(self.m_members, steady_now())) {
        wire::fleet::Frame frame{};
        frame.mutable_store_version_request()->set_number(++self.m_version_requests);
        self.m_version_requested_at = boot_now();
        connect_to_gateway(self, reader->m_instance);
        send(self, reader->m_instance, frame);
    }
    self.m_loop.after(internal::version_answer_time, [&self] { internal::read_version_if_needed(self); });
}

} // namespace rhubarbwharf::node
