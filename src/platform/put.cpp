#include "platform/service.hpp"
#include "platform/wire.hpp"

namespace rhubarbwharf::platform::internal {

constexpr unsigned most_writes = 3U;
constexpr unsigned settle_waits = 4U;
constexpr std::uint16_t status_ok = 200U;
constexpr std::uint16_t status_not_found = 404U;
constexpr std::uint16_t status_too_many = 429U;

namespace {

/*! @brief One compare-and-swap; kept alive by its calls. */
class put_session : public std::enable_shared_from_this<put_session> {
public:
    put_session(std::shared_ptr<service> owner, key_value wanted, client::put_done done)
        : m_owner{std::move(owner)}, m_wanted{std::move(wanted)}, m_done{std::move(done)} {}

    auto write() -> void {
        ++m_writes;
        const auto expected = m_wanted.m_modified;
        m_owner->call(kind::write, m_owner->m_settings.m_call_time, "/v3/kv/txn",
                      txn_body(m_wanted.m_key, m_wanted.m_value, expected, m_wanted.m_lease),
                      [self = shared_from_this()](const reply& answer) { self->on_written(answer); });
    }

private:
    auto on_written(const reply& answer) -> void {
        const auto surely_not = answer.m_sent == net::sent::nothing;
        if (answer.m_code != code::ok) {
            if (surely_not && !m_maybe_written) {
                end({answer.m_code, outcome::not_run, {}});
            } else if (surely_not) {
                end({answer.m_code, outcome::unknown, {}});
            } else {
                read_back();
            }
            return;
        }
        if (answer.m_status != status_ok) {
            end({refusal_of(answer.m_status), m_maybe_written ? outcome::unknown : outcome::not_run, {}});
            return;
        }
        const auto txn = parse_txn(answer.m_body);
        if (!txn) {
            read_back();
        } else if (txn->m_succeeded) {
            end_written(txn->m_revision);
        } else {
            on_compare_failed(txn->m_keys.empty() ? key_value{m_wanted.m_key, {}, 0U, 0} : txn->m_keys.front());
        }
    }

    auto on_compare_failed(const key_value& stands) -> void {
        if (!m_maybe_written) {
            end({code::compare_failed, outcome::not_run, stands});
        } else if (settle(stands, m_wanted.m_value, m_wanted.m_modified) == settled::written) {
            end_written(stands.m_modified);
        } else {
            end({code::platform_unavailable, outcome::unknown, stands});
        }
    }

    auto read_back() -> void {
        m_maybe_written = true;
        ++m_owner->m_counts.m_read_backs;
        m_owner->call(kind::read, settle_waits * m_owner->m_settings.m_call_time, "/v3/kv/range",
                      range_body(m_wanted.m_key, false),
                      [self = shared_from_this()](const reply& answer) { self->on_read_back(answer); });
    }

    auto on_read_back(const reply& answer) -> void {
        const auto range =
            answer.m_code == code::ok && answer.m_status == status_ok ? parse_range(answer.m_body) : std::nullopt;
        if (!range) {
            end({code::platform_unavailable, outcome::unknown, {}});
            return;
        }
        const auto stands = range->m_keys.empty() ? key_value{m_wanted.m_key, {}, 0U, 0} : range->m_keys.front();
        const auto known = settle(stands, m_wanted.m_value, m_wanted.m_modified);
        if (known == settled::written) {
            end_written(stands.m_modified);
        } else if (known == settled::open && m_writes < most_writes) {
            write();
        } else {
            end({code::platform_unavailable, outcome::unknown, stands});
        }
    }

    [[nodiscard]] static auto refusal_of(const std::uint16_t status) -> code {
        if (status == status_not_found) {
            return code::lease_lost;
        }
        return status == status_too_many ? code::rate_limited : code::platform_unavailable;
    }

    auto end_written(const revision at) -> void {
        auto stands = m_wanted;
        stands.m_modified = at;
        end({code::ok, outcome::unknown, std::move(stands)});
    }

    auto end(put_outcome how) -> void { m_done(std::move(how)); }

    std::shared_ptr<service> m_owner;
    key_value m_wanted{};
    client::put_done m_done{};
    unsigned m_writes{};
    bool m_maybe_written{};
};

} // namespace

auto start_put(std::shared_ptr<service> owner, key_value wanted, client::put_done done) -> void {
    std::make_shared<put_session>(std::move(owner), std::move(wanted), std::move(done))->write();
}

} // namespace rhubarbwharf::platform::internal
