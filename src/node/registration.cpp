#include <node/registration.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Pause before a call that failed is made again. */
constexpr duration retry_pause = std::chrono::milliseconds{700};
/*! @brief Renewals in the time of a lease, so that two may be lost. */
constexpr int renewals = 3;

} // namespace internal

registration::registration(net::loop& owner, adapter::store& store, std::string key, std::string value,
                           const duration ttl, std::function<void()> on_written)
    : m_loop{owner}, m_store{store}, m_key{std::move(key)}, m_value{std::move(value)}, m_ttl{ttl},
      m_on_written{std::move(on_written)} {}

auto registration::start() -> void {
    m_store.grant(m_ttl, [self = shared_from_this()](const adapter::lease got) {
        if (got.m_reply != adapter::reply::ok) {
            self->later(internal::retry_pause, &registration::start);
            return;
        }
        self->m_lease = got.m_number;
        self->write();
    });
}

auto registration::write() -> void {
    if (m_stopped) {
        m_store.end(m_lease, [](adapter::reply) {});
        return;
    }
    adapter::transaction what{};
    what.m_puts.push_back({m_key, m_value, 0U, m_lease, false});
    m_store.commit(what, [self = shared_from_this()](const adapter::reply got, std::uint64_t) {
        if (got == adapter::reply::ok) {
            self->m_on_written();
            self->later(self->m_ttl / internal::renewals, &registration::renew);
        } else if (got == adapter::reply::missing) {
            self->later(duration::zero(), &registration::start);
        } else {
            self->later(internal::retry_pause, &registration::write);
        }
    });
}

auto registration::renew() -> void {
    m_store.keep(m_lease, [self = shared_from_this()](const adapter::lease got) {
        if (got.m_reply == adapter::reply::ok) {
            self->later(self->m_ttl / internal::renewals, &registration::renew);
        } else if (got.m_reply == adapter::reply::missing) {
            self->later(duration::zero(), &registration::start);
        } else {
            self->later(internal::retry_pause, &registration::renew);
        }
    });
}

auto registration::later(const duration pause, void (registration::*step)()) -> void {
    if (m_stopped) {
        return;
    }
    m_loop.after(pause, [self = shared_from_this(), step] {
        if (!self->m_stopped) {
            (*self.*step)();
        }
    });
}

auto registration::stop() -> void {
    m_stopped = true;
    if (m_lease != 0U) {
        m_store.end(m_lease, [](adapter::reply) {});
    }
}

} // namespace rhubarbwharf::node
