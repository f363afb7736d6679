#include <algorithm>

#include <gateway/parts.hpp>
#include <platform/decode.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

/*! @brief Parts in one log line, at most. */
constexpr std::size_t max_logged_parts = 8U;

[[nodiscard]] auto hex(const routing::part_id part) -> std::string {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr auto bits_per_digit = 4U;
    std::string out(sizeof(part.value()) * 2U, '0');
    auto value = part.value();
    for (auto each = out.rbegin(); each != out.rend(); ++each) {
        *each = digits[value % digits.size()];
        value >>= bits_per_digit;
    }
    return out;
}

[[nodiscard]] auto list_parts(const std::span<const routing::part_id> parts) -> std::string {
    std::string out{};
    for (const auto part : parts.first(std::min(parts.size(), max_logged_parts))) {
        out += (out.empty() ? "" : " ") + hex(part);
    }
    return out;
}

/*! @brief Requests of this gateway at one backend server. */
struct requests_at_server {
    unsigned m_begun{};
    unsigned m_not_begun{};
    /*! @brief Parts of those that have not begun. */
    std::vector<routing::part_id> m_parts{};
};

[[nodiscard]] auto find_requests(const daemon& self, const dispatch::server_load& backend) -> requests_at_server {
    requests_at_server out{};
    for (const auto& [id, item] : self.m_exchanges) {
        for (const auto& each : {item->m_attempt, item->m_hedge}) {
            if (!each || each->m_backend.get() != &backend) {
                continue;
            }
            if (each->m_deliveries >= begun_deliveries) {
                ++out.m_begun;
                continue;
            }
            ++out.m_not_begun;
            for (const auto part : item->m_parts) {
                if (std::ranges::find(out.m_parts, part) == out.m_parts.end()) {
                    out.m_parts.push_back(part);
                }
            }
        }
    }
    return out;
}

} // namespace

} // namespace internal

auto shared_parts(const std::string_view model, const std::string_view header) -> std::vector<routing::part_id> {
    std::vector<routing::part_id> out{};
    const auto ids = adapter::decode_prompt_parts(header);
    for (std::size_t index = 0U; index + 1U < ids.size(); ++index) {
        out.emplace_back(short_digest(std::string{model} + '\n' + std::string{ids[index]}));
    }
    return out;
}

auto on_server_crash(daemon& self, const std::shared_ptr<dispatch::server_load>& backend) -> void {
    const auto found = internal::find_requests(self, *backend);
    self.m_core.m_events.write("server.crashed", {{"server", backend->m_id},
                                                  {"begun", static_cast<std::int64_t>(found.m_begun)},
                                                  {"not_begun", static_cast<std::int64_t>(found.m_not_begun)},
                                                  {"parts", internal::list_parts(found.m_parts)}});
}

} // namespace rhubarbwharf::gateway
