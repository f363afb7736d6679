#include <agent/engine.hpp>

#include <charconv>

#include <boost/json.hpp>

namespace rhubarbwharf::agent {

namespace internal {

namespace json = boost::json;

constexpr int hex_base = 16;

[[nodiscard]] auto text_of(const json::object& object, const std::string_view name) -> std::string {
    const auto* const value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : std::string{};
}

[[nodiscard]] auto number_of(const json::object& object, const std::string_view name) -> std::uint64_t {
    const auto* const value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    boost::system::error_code failure{};
    const auto number = value->to_number<std::uint64_t>(failure);
    return failure ? 0 : number;
}

[[nodiscard]] auto digest_of(const json::object& object, const std::string_view name) -> digest {
    return digest_from_hex(text_of(object, name)).value_or(digest{});
}

[[nodiscard]] auto order_of(const json::object& object) -> order_number {
    const auto* const value = object.if_contains("fencing");
    if (value == nullptr || !value->is_object()) {
        return {};
    }
    const auto& fencing = value->get_object();
    return {ticket_number{number_of(fencing, "ticket")}, number_of(fencing, "epoch")};
}

[[nodiscard]] auto prefixes_of(const json::object& object) -> std::vector<std::uint64_t> {
    std::vector<std::uint64_t> hashes{};
    const auto* const value = object.if_contains("cached_prefixes");
    if (value == nullptr || !value->is_array()) {
        return hashes;
    }
    for (const auto& item : value->get_array()) {
        std::uint64_t hash{};
        const auto digits = item.is_string() ? std::string_view{item.get_string()} : std::string_view{};
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), hash, hex_base);
        if (parsed.ec == std::errc{} && !digits.empty()) {
            hashes.push_back(hash);
        }
    }
    return hashes;
}

[[nodiscard]] auto hex_or_empty(const digest& value) -> std::string {
    return value == digest{} ? std::string{} : to_hex(value);
}

} // namespace internal

auto parse_engine_state(const std::string_view text) -> std::optional<engine_state> {
    boost::system::error_code failure{};
    const auto value = boost::json::parse(text, failure);
    if (failure || !value.is_object()) {
        return std::nullopt;
    }
    const auto& object = value.get_object();
    engine_state state{};
    state.m_version.m_model = internal::text_of(object, "model");
    state.m_version.m_manifest = internal::digest_of(object, "manifest");
    state.m_version.m_content = internal::digest_of(object, "content");
    state.m_version.m_adapter = internal::text_of(object, "adapter");
    state.m_version.m_role = internal::text_of(object, "role");
    state.m_order = internal::order_of(object);
    state.m_running = static_cast<std::uint32_t>(internal::number_of(object, "running"));
    state.m_waiting = static_cast<std::uint32_t>(internal::number_of(object, "waiting"));
    state.m_crashes = internal::number_of(object, "crashes");
    state.m_cached_prefixes = internal::prefixes_of(object);
    return state;
}

auto make_load_order(const version& wanted, const order_number& order, const std::string_view source) -> std::string {
    const boost::json::object body{
        {"model", wanted.m_model},
        {"manifest", internal::hex_or_empty(wanted.m_manifest)},
        {"content", internal::hex_or_empty(wanted.m_content)},
        {"source", source},
        {"adapter", wanted.m_adapter},
        {"role", wanted.m_role},
        {"ticket", order.m_ticket.value()},
        {"epoch", order.m_epoch},
    };
    return boost::json::serialize(body);
}

} // namespace rhubarbwharf::agent
