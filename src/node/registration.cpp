#include <node/registration.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Delay before a failed call is retried. */
constexpr duration retry_delay = std::chrono::milliseconds{700};
/*! @brief Renewals within the time to live of a lease, so that two may be lost. */
constexpr int renewals_per_lease = 3;

} // namespace internal

registration::registration(net::loop& loop, adapter::store& store, std::string key, std::string value,
                           const duration ttl, std::function<void()> on_written)
    : m_loop{loop}, m_store{store}, m_key{std::move(key)}, m_value{std::move(value)}, m_ttl{ttl},
      m_on_written{std::move(on_written)} {}

auto registration::start() -> void {
    m_store.grant_lease(m_ttl, [self = shared_from_this(), generation = m_generation](const adapter::lease lease) {
        if (self->m_generation != generation) {
            return;
        }
        if (lease.m_reply != adapter::reply::ok) {
            self->schedule(internal::retry_delay, &registration::start);
            return;
        }
        self->m_lease_id = lease.m_id;
        self->m_lease_era = self->m_store.era();
        self->write();
    });
}

auto registration::renew_in_new_era(const duration delay) -> void {
    ++m_generation;
    m_lease_id = 0U;
    schedule(delay, &registration::start);
}

auto registration::revoke() -> void {
    if (m_lease_id != 0U && m_lease_era == m_store.era()) {
        m_store.revoke_lease(m_lease_id, [](adapter::reply) {});
    }
}

auto registration::write() -> void {
    if (m_stopped) {
        revoke();
        return;
    }
    adapter::transaction transaction{};
    transaction.m_puts.push_back({m_key, m_value, {}, m_lease_id, false});
    m_store.commit(transaction,
                   [self = shared_from_this(), generation = m_generation](const adapter::reply result, std::uint64_t) {
                       if (self->m_generation != generation) {
                           return;
                       }
                       if (result == adapter::reply::ok) {
                           self->m_on_written();
                           self->schedule(self->m_ttl / internal::renewals_per_lease, &registration::renew);
                       } else if (result == adapter::reply::missing) {
                           self->schedule(duration::zero(), &registration::start);
                       } else {
                           self->schedule(internal::retry_delay, &registration::write);
                       }
                   });
}

auto registration::renew() -> void {
    m_store.renew_lease(m_lease_id, [self = shared_from_this(), generation = m_generation](const adapter::lease lease) {
        if (self->m_generation != generation) {
            return;
        }
        if (lease.m_reply == adapter::reply::ok) {
            self->schedule(self->m_ttl / internal::renewals_per_lease, &registration::renew);
        } else if (lease.m_reply == adapter::reply::missing) {
            self->schedule(duration::zero(), &registration::start);
        } else {
            self->schedule(internal::retry_delay, &registration::renew);
        }
    });
}

auto registration::probe(std::function<void(adapter::reply)> done) -> bool {
    if (m_stopped || m_lease_id == 0U || m_lease_era != m_store.era()) {
        return false;
    }
    m_store.renew_lease(m_lease_id, [done = std::move(done)](const adapter::lease& renewed) { done(renewed.m_reply); });
    return true;
}

auto registration::schedule(const duration delay, void (registration::*step)()) -> void {
    if (m_stopped) {
        return;
    }
    m_loop.after(delay, [self = shared_from_this(), step, generation = m_generation] {
        if (!self->m_stopped && self->m_generation == generation) {
            (*self.*step)();
        }
    });
}

auto registration::stop() -> void {
    m_stopped = true;
    revoke();
}

} // namespace rhubarbwharf::node
