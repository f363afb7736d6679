#include <algorithm>
#include <utility>

#include <node/follower.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Pause after the first failure; it doubles with each further one. */
constexpr duration least_pause = std::chrono::milliseconds{100};
/*! @brief Longest pause, so that a store that is back is noticed within the bound of a change. */
constexpr duration most_pause = std::chrono::milliseconds{800};
/*! @brief Spread of the listings that a lost history makes all processes do at once. */
constexpr duration listing_spread = std::chrono::milliseconds{200};
constexpr unsigned most_doublings = 3U;

} // namespace internal

follower::follower(net::loop& owner, adapter::store& store, std::string prefix, const duration wait,
                   const duration gather, const std::uint64_t seed, follower_handlers handlers)
    : m_loop{owner}, m_store{store}, m_prefix{std::move(prefix)}, m_wait{wait}, m_gather{gather}, m_random{seed},
      m_handlers{std::move(handlers)} {}

auto follower::start() -> void {
    list({});
}

auto follower::stop() -> void {
    m_stopped = true;
    ++m_round;
    if (m_call) {
        m_call->cancel();
    }
}

auto follower::renew() -> void {
    if (m_stopped || !m_call) {
        return;
    }
    ++m_round;
    std::exchange(m_call, nullptr)->cancel();
    watch();
}

auto follower::pause() -> void {
    if (m_paused || m_revision == 0U) {
        return;
    }
    m_paused = true;
    ++m_round;
    if (auto running = std::exchange(m_call, nullptr)) {
        running->cancel();
    }
}

auto follower::resume() -> void {
    if (!std::exchange(m_paused, false) || m_stopped) {
        return;
    }
    // Listing is one call and tells all; a watch from an old revision may come back as `compacted` first.
    list({});
}

auto follower::note_contact(const bool there) -> void {
    if (!m_known || m_there != there) {
        m_known = true;
        m_there = there;
        m_handlers.m_on_contact(there);
    }
}

auto follower::again(const bool from_listing) -> void {
    const auto doublings = std::min(m_failures, internal::most_doublings);
    const auto pause = std::min(internal::least_pause * (1U << doublings), internal::most_pause);
    const auto jitter = duration{static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(pause.count()))};
    ++m_failures;
    m_loop.after(pause / 2 + jitter / 2, [self = shared_from_this(), from_listing, round = m_round] {
        if (self->m_stopped || self->m_round != round) {
            return;
        }
        if (from_listing) {
            self->list({});
        } else {
            self->watch();
        }
    });
}

auto follower::list(const std::string& after) -> void {
    if (after.empty()) {
        m_listed.clear();
    }
    const auto round = ++m_round;
    m_store.range(m_prefix, after, [self = shared_from_this(), round](adapter::page got) {
        if (!self->m_stopped && self->m_round == round) {
            self->on_page(std::move(got));
        }
    });
}

auto follower::on_page(adapter::page got) -> void {
    if (got.m_reply != adapter::reply::ok) {
        note_contact(false);
        again(true);
        return;
    }
    note_contact(true);
    // Pages are not one snapshot: the watch goes on from the first, and what is told twice is merged by revision.
    if (m_listed.empty()) {
        m_listing_revision = got.m_revision;
    }
    std::ranges::move(got.m_items, std::back_inserter(m_listed));
    if (got.m_more && !m_listed.empty()) {
        list(m_listed.back().m_key);
        return;
    }
    m_failures = 0U;
    m_revision = m_listing_revision;
    m_handlers.m_on_list(std::exchange(m_listed, {}), m_revision);
    watch();
}

auto follower::watch() -> void {
    const auto round = ++m_round;
    m_call = m_store.watch(m_prefix, m_revision, m_wait, [self = shared_from_this(), round](adapter::page got) {
        if (!self->m_stopped && self->m_round == round) {
            self->m_call = nullptr;
            self->on_changes(std::move(got));
        }
    });
}

auto follower::on_changes(adapter::page got) -> void {
    if (got.m_reply == adapter::reply::compacted) {
        const auto spread = static_cast<std::uint64_t>(internal::listing_spread.count());
        const auto jitter = duration{static_cast<duration::rep>(m_random() % spread)};
        m_loop.after(jitter, [self = shared_from_this(), round = m_round] {
            if (!self->m_stopped && self->m_round == round) {
                self->list({});
            }
        });
        return;
    }
    if (got.m_reply != adapter::reply::ok) {
        note_contact(false);
        again(false);
        return;
    }
    note_contact(true);
    m_failures = 0U;
    m_revision = std::max(m_revision, got.m_revision);
    for (auto& each : got.m_items) {
        m_handlers.m_on_change(std::move(each));
    }
    if (m_stopped) {
        return;
    }
    if (got.m_items.empty() || m_gather == duration::zero()) {
        watch();
        return;
    }
    m_loop.after(m_gather, [self = shared_from_this(), round = m_round] {
        if (!self->m_stopped && self->m_round == round) {
            self->watch();
        }
    });
}

} // namespace rhubarbwharf::node
