#include <algorithm>
#include <utility>

#include <node/follower.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Delay after the first failure; doubled with each further one. */
constexpr duration min_retry_delay = std::chrono::milliseconds{100};
/*! @brief Longest delay, so that a store that answers again is noticed within the time limit of a change. */
constexpr duration max_retry_delay = std::chrono::milliseconds{800};
/*! @brief Wait of the first watch after a failure: a store that answers again tells its era at once. */
constexpr duration first_watch_timeout = std::chrono::milliseconds{50};
/*! @brief Jitter of the listings after a compaction or in a new era, which affect all processes at once. */
constexpr duration max_listing_jitter = std::chrono::milliseconds{200};
constexpr unsigned max_retry_doublings = 3U;

} // namespace internal

follower::follower(net::loop& loop, adapter::store& store, std::string prefix, const duration watch_timeout,
                   const duration batch_delay, const std::uint64_t seed, follower_handlers handlers)
    : m_loop{loop}, m_store{store}, m_prefix{std::move(prefix)}, m_watch_timeout{watch_timeout},
      m_batch_delay{batch_delay}, m_random{seed}, m_handlers{std::move(handlers)} {
    if (!m_handlers.m_arrival) {
        m_handlers.m_arrival = [] {
            return fleet::arrival_time{steady_now(), true};
        };
    }
    if (!m_handlers.m_on_watch_replaced) {
        m_handlers.m_on_watch_replaced = [](duration) {
        };
    }
    if (!m_handlers.m_on_delivery) {
        m_handlers.m_on_delivery = [](const adapter::page&) {
        };
    }
}

auto follower::start(const duration first_watch_delay) -> void {
    m_first_watch_delay = first_watch_delay;
    list({});
}

auto follower::begin_watch() -> void {
    m_first_watch_delay = duration::zero();
    if (std::exchange(m_first_watch_pending, false) && !m_stopped && !m_paused) {
        watch();
    }
}

auto follower::stop() -> void {
    m_stopped = true;
    ++m_generation;
    if (m_call) {
        m_call->cancel();
    }
}

auto follower::replace_watch(const time_point began_until, const duration wait) -> void {
    if (m_stopped || !m_call || m_call->has_head() || m_watch_requested_at > began_until) {
        return;
    }
    ++m_generation;
    std::exchange(m_call, nullptr)->cancel();
    m_replacement_wait = wait;
    m_handlers.m_on_watch_replaced(steady_now() - m_watch_requested_at);
    watch();
}

auto follower::is_receiving(const time_point now) const noexcept -> bool {
    const auto arrives = [now](const std::shared_ptr<net::call>& each) {
        return each && each->has_head() && now - each->last_received() < max_receive_pause;
    };
    return arrives(m_call) || arrives(m_listing_call);
}

auto follower::relist() -> void {
    if (m_stopped || m_paused) {
        return;
    }
    ++m_generation;
    m_failures = 0U;
    m_batch_pending = false;
    if (auto call = std::exchange(m_call, nullptr)) {
        call->cancel();
    }
    schedule_listing();
}

auto follower::pause() -> void {
    if (std::exchange(m_paused, true) || m_version.m_revision == 0U) {
        return;
    }
    ++m_generation;
    m_batch_pending = false;
    if (auto call = std::exchange(m_call, nullptr)) {
        call->cancel();
    }
}

auto follower::resume(const fleet::store_version known) -> void {
    if (!std::exchange(m_paused, false) || m_stopped) {
        return;
    }
    m_first_watch_delay = duration::zero();
    if (known.m_revision == 0U) {
        list({});
        return;
    }
    m_first_watch_pending = false;
    m_version = std::max(m_version, known);
    // What is found first was not seen as it was written, so its time is a bound, as after a failure.
    m_failures = 1U;
    watch();
}

auto follower::note_suspension(const duration suspended) noexcept -> void {
    m_known_until -= suspended;
    m_listing_requested_at -= suspended;
    m_watch_requested_at -= suspended;
    m_check_requested_at -= suspended;
}

auto follower::update_contact(const bool reachable) -> void {
    if (!m_contact_known || m_reachable != reachable) {
        m_contact_known = true;
        m_reachable = reachable;
        m_handlers.m_on_reachability(reachable);
    }
}

auto follower::schedule_retry(const bool relist) -> void {
    const auto doublings = std::min(m_failures, internal::max_retry_doublings);
    const auto delay = std::min(internal::min_retry_delay * (1U << doublings), internal::max_retry_delay);
    const auto jitter = duration{static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(delay.count()))};
    ++m_failures;
    m_loop.after(delay / 2 + jitter / 2, [self = shared_from_this(), relist, generation = m_generation] {
        if (self->m_stopped || self->m_generation != generation) {
            return;
        }
        if (relist) {
            self->list({});
        } else {
            self->watch();
        }
    });
}

auto follower::schedule_listing() -> void {
    const auto spread = static_cast<std::uint64_t>(internal::max_listing_jitter.count());
    const auto jitter = duration{static_cast<duration::rep>(m_random() % spread)};
    m_loop.after(jitter, [self = shared_from_this(), generation = m_generation] {
        if (!self->m_stopped && self->m_generation == generation) {
            self->list({});
        }
    });
}

auto follower::list(const std::string& after_key) -> void {
    if (after_key.empty()) {
        m_first_watch_pending = false;
        m_listed_items.clear();
        m_listing_requested_at = steady_now();
    }
    const auto generation = ++m_generation;
    m_listing_call = m_store.range(m_prefix, after_key, [self = shared_from_this(), generation](adapter::page page) {
        if (!self->m_stopped && self->m_generation == generation) {
            self->m_listing_call = nullptr;
            self->on_page(std::move(page));
        }
    });
}

auto follower::on_page(adapter::page page) -> void {
    if (page.m_reply != adapter::reply::ok) {
        update_contact(false);
        schedule_retry(true);
        return;
    }
    update_contact(true);
    // Pages are not one snapshot: the watch continues from the first page's revision, and duplicates are merged by
    // revision.
    if (m_listed_items.empty()) {
        m_listing_version = page.m_version;
    }
    std::ranges::move(page.m_items, std::back_inserter(m_listed_items));
    if (page.m_has_more && !m_listed_items.empty()) {
        list(m_listed_items.back().m_key);
        return;
    }
    m_failures = 0U;
    m_version = m_listing_version;
    // A suspension is noted before the known times are used.
    static_cast<void>(m_handlers.m_arrival());
    m_write_time = {m_known_until, false};
    m_known_until = m_listing_requested_at;
    m_handlers.m_on_list(std::exchange(m_listed_items, {}), m_version);
    if (m_paused) {
        return;
    }
    const auto delay = std::exchange(m_first_watch_delay, duration::zero());
    if (delay == duration::zero()) {
        watch();
        return;
    }
    // What changes until then is not seen as it happens, so its time is a bound, as after a failure.
    m_failures = 1U;
    m_first_watch_pending = true;
    m_loop.after(delay, [self = shared_from_this(), generation = m_generation] {
        if (self->m_generation == generation) {
            self->begin_watch();
        }
    });
}

auto follower::watch() -> void {
    const auto generation = ++m_generation;
    m_batch_pending = false;
    m_watch_requested_at = steady_now();
    const auto wait = m_replacement_wait.value_or(m_watch_timeout);
    const auto timeout = m_failures == 0U ? wait : std::min(wait, internal::first_watch_timeout);
    m_call = m_store.watch(m_prefix, m_version.m_revision, timeout,
                           [self = shared_from_this(), generation](adapter::page page) {
                               if (!self->m_stopped && self->m_generation == generation) {
                                   self->m_call = nullptr;
                                   self->on_changes(std::move(page));
                               }
                           });
}

auto follower::check(check_handler done) -> void {
    const auto is_waiting = m_call && !m_call->has_head();
    if (m_stopped || m_paused || !(is_waiting || m_batch_pending)) {
        done(std::nullopt);
        return;
    }
    m_check_requested_at = steady_now();
    m_store.watch(m_prefix, m_version.m_revision, revision_watch_timeout,
                  [self = shared_from_this(), generation = m_generation, done = std::move(done)](adapter::page page) {
                      const auto is_current = !self->m_stopped && self->m_generation == generation;
                      done(is_current ? self->on_check(std::move(page)) : std::nullopt);
                  });
}

auto follower::on_check(adapter::page page) -> std::optional<fleet::store_version> {
    // A suspension is noted before the known times are used.
    static_cast<void>(m_handlers.m_arrival());
    if (page.m_reply == adapter::reply::compacted) {
        relist();
        return std::nullopt;
    }
    if (page.m_reply != adapter::reply::ok) {
        return std::nullopt;
    }
    const auto version = page.m_version;
    if (!page.m_items.empty()) {
        take_missed_changes(std::move(page));
        return version;
    }
    m_known_until = std::max(m_known_until, m_check_requested_at);
    m_version = std::max(m_version, version);
    return version;
}

auto follower::take_missed_changes(adapter::page page) -> void {
    ++m_generation;
    if (auto call = std::exchange(m_call, nullptr)) {
        call->cancel();
    }
    m_handlers.m_on_watch_replaced(steady_now() - m_watch_requested_at);
    m_replacement_wait.reset();
    const auto arrival = m_handlers.m_arrival();
    m_write_time = {std::min(m_known_until, arrival.m_earliest), false};
    m_known_until = arrival.m_earliest;
    deliver(std::move(page));
}

auto follower::on_changes(adapter::page page) -> void {
    if (page.m_reply == adapter::reply::compacted) {
        schedule_listing();
        return;
    }
    const auto arrival = m_handlers.m_arrival();
    const auto was_waiting = m_failures == 0U && !std::exchange(m_replacement_wait, std::nullopt);
    if (page.m_reply != adapter::reply::ok) {
        // A watch that the store refuses would have delivered all changes until then. A connection that fails may have
        // been dead for a while, and one whose watch timed out since the watch began.
        const auto is_refused = page.m_reply == adapter::reply::refused;
        if (was_waiting && (is_refused || steady_now() - m_watch_requested_at < m_watch_timeout)) {
            const auto dead_for = is_refused ? duration::zero() : max_dead_connection_time;
            m_known_until = std::max(m_known_until, arrival.m_earliest - dead_for);
        }
        update_contact(false);
        schedule_retry(false);
        return;
    }
    update_contact(true);
    m_failures = 0U;
    m_write_time = was_waiting ? arrival : fleet::arrival_time{std::min(m_known_until, arrival.m_earliest), false};
    m_known_until = arrival.m_earliest;
    deliver(std::move(page));
}

auto follower::deliver(adapter::page page) -> void {
    m_handlers.m_on_delivery(page);
    m_version = std::max(m_version, page.m_version);
    for (auto& each : page.m_items) {
        m_handlers.m_on_change(std::move(each));
    }
    if (m_stopped) {
        return;
    }
    if (page.m_items.empty() || m_batch_delay == duration::zero()) {
        watch();
        return;
    }
    m_batch_pending = true;
    m_loop.after(m_batch_delay, [self = shared_from_this(), generation = m_generation] {
        if (!self->m_stopped && self->m_generation == generation) {
            self->watch();
        }
    });
}

} // namespace rhubarbwharf::node
