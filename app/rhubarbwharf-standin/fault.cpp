#include <algorithm>
#include <cstdlib>
#include <deque>

#include "standin.hpp"

namespace rhubarbwharf::standin {

namespace internal {

/*! @brief Parts of a stream that are let through before it is cut. */
constexpr auto parts_before_cut = 3U;

/*! @brief Responder that spoils the answer of one request. */
class spoiler : public net::responder, public std::enable_shared_from_this<spoiler> {
public:
    spoiler(net::loop& owner, std::shared_ptr<net::responder> inner, fault what)
        : m_owner{owner}, m_inner{std::move(inner)}, m_what{std::move(what)} {}

    auto hold() -> void {
        m_held = m_what.m_kind == "stall";
        if (m_held) {
            m_owner.after(m_what.m_time, [self = shared_from_this()] { self->release(); });
        }
    }

    auto respond(net::http_response response) -> void override {
        if (m_what.m_kind == "lose_answer") {
            return m_inner->abort();
        }
        if (m_what.m_kind == "cut") {
            const auto half = response.m_body.substr(0, response.m_body.size() / 2U);
            m_inner->start(response);
            m_inner->write(half);
            m_owner.after(std::chrono::milliseconds{20}, [inner = m_inner] { inner->abort(); });
            return;
        }
        response.m_body = spoil(response.m_body);
        pass([inner = m_inner, response] { inner->respond(response); });
    }

    auto start(net::http_response head) -> void override {
        if (m_what.m_kind != "lose_answer") {
            pass([inner = m_inner, head] { inner->start(head); });
        }
    }

    auto write(const std::string_view part) -> void override {
        if (m_what.m_kind == "lose_answer" || m_ended) {
            return;
        }
        if (m_what.m_kind == "cut" && m_parts++ == parts_before_cut) {
            m_ended = true;
            return m_inner->abort();
        }
        pass([inner = m_inner, text = spoil(std::string{part})] { inner->write(text); });
    }

    auto finish() -> void override {
        if (m_ended) {
            return;
        }
        if (m_what.m_kind == "lose_answer" || m_what.m_kind == "cut") {
            return m_inner->abort();
        }
        pass([inner = m_inner] { inner->finish(); });
    }

    auto abort() -> void override { m_inner->abort(); }

    auto on_close(std::function<void()> handler) -> void override { m_inner->on_close(std::move(handler)); }

    [[nodiscard]] auto pending() const noexcept -> std::size_t override { return m_inner->pending(); }

private:
    auto pass(std::function<void()> step) -> void {
        if (m_held) {
            m_steps.push_back(std::move(step));
            return;
        }
        step();
    }

    auto release() -> void {
        m_held = false;
        for (const auto& step : m_steps) {
            step();
        }
        m_steps.clear();
    }

    [[nodiscard]] auto spoil(std::string text) -> std::string {
        if (m_what.m_kind == "corrupt" && !m_spoilt && !text.empty()) {
            auto& letter = text[text.size() / 2U];
            letter = static_cast<char>(letter ^ 1);
            m_spoilt = true;
        }
        return text;
    }

    net::loop& m_owner;
    std::shared_ptr<net::responder> m_inner;
    fault m_what;
    std::deque<std::function<void()>> m_steps{};
    unsigned m_parts{};
    bool m_held{};
    bool m_ended{};
    bool m_spoilt{};
};

auto set(faults& table, const net::http_request& request, net::responder& answer) -> void {
    const auto body = parse_object(request.m_body);
    fault added{};
    added.m_kind = text_of(body, "kind");
    added.m_count = static_cast<std::uint64_t>(number_of(body, "count"));
    added.m_time = std::chrono::milliseconds{number_of(body, "ms")};
    added.m_match = text_of(body, "match");
    if (added.m_kind == "none") {
        table.m_active.clear();
        table.m_down_until = {};
    } else if (added.m_kind == "down") {
        table.m_down_until = steady_now() + added.m_time;
    } else {
        table.m_active.push_back(added);
    }
    if (table.m_on_set) {
        table.m_on_set(added);
    }
    answer.respond(json_response(200, boost::json::object{{"set", added.m_kind}}));
}

[[nodiscard]] auto is_hit(const fault& what, const net::http_request& request) -> bool {
    return request.m_target.find(what.m_match) != std::string::npos ||
           request.m_body.find(what.m_match) != std::string::npos;
}

[[nodiscard]] auto take_spoiling(faults& table, const net::http_request& request) -> std::optional<fault> {
    for (const auto* kind : {"stall", "cut", "corrupt", "lose_answer"}) {
        if (auto found = take(table, kind, request)) {
            return found;
        }
    }
    return std::nullopt;
}

/*! @brief Ends the process, or with a time lets the role forget all and come back after it. */
auto crash(faults& table, const fault& what) -> void {
    if (what.m_time == duration::zero()) {
        std::_Exit(1);
    }
    table.m_down_until = steady_now() + what.m_time;
    if (table.m_on_set) {
        table.m_on_set({.m_kind = "crashed", .m_count = 0, .m_time = what.m_time, .m_match = {}});
    }
}

} // namespace internal

auto take(faults& table, const std::string_view kind, const net::http_request& request) -> std::optional<fault> {
    const auto found = std::find_if(table.m_active.begin(), table.m_active.end(), [&](const fault& what) {
        return what.m_kind == kind && internal::is_hit(what, request);
    });
    if (found == table.m_active.end()) {
        return std::nullopt;
    }
    auto taken = *found;
    if (found->m_count > 0 && --found->m_count == 0) {
        table.m_active.erase(found);
    }
    return taken;
}

auto find(const faults& table, const std::string_view kind) -> const fault* {
    const auto found = std::find_if(table.m_active.begin(), table.m_active.end(),
                                    [kind](const fault& what) { return what.m_kind == kind; });
    return found == table.m_active.end() ? nullptr : &*found;
}

auto with_faults(net::loop& owner, const std::shared_ptr<faults>& table, const net::http_handler& inner)
    -> net::http_handler {
    return [&owner, table, inner](net::http_request request, std::shared_ptr<net::responder> answer) {
        if (request.m_method == "POST" && request.m_target == "/fault") {
            return internal::set(*table, request, *answer);
        }
        if (steady_now() < table->m_down_until) {
            return answer->abort();
        }
        if (const auto crashing = take(*table, "crash_on", request)) {
            internal::crash(*table, *crashing);
            return answer->abort();
        }
        const auto what = internal::take_spoiling(*table, request);
        if (!what) {
            return inner(std::move(request), std::move(answer));
        }
        auto spoilt = std::make_shared<internal::spoiler>(owner, std::move(answer), *what);
        spoilt->hold();
        inner(std::move(request), std::move(spoilt));
    };
}

auto json_response(const std::uint16_t status, const boost::json::value& value) -> net::http_response {
    return {.m_status = status,
            .m_headers = {{"Content-Type", "application/json"}},
            .m_body = boost::json::serialize(value)};
}

auto parse_object(const std::string_view text) -> boost::json::object {
    boost::system::error_code failed{};
    auto value = boost::json::parse(text, failed);
    return failed || !value.is_object() ? boost::json::object{} : std::move(value.get_object());
}

auto text_of(const boost::json::object& object, const std::string_view name) -> std::string {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : std::string{};
}

auto number_of(const boost::json::object& object, const std::string_view name, const std::int64_t otherwise)
    -> std::int64_t {
    const auto* value = object.if_contains(name);
    if (value == nullptr) {
        return otherwise;
    }
    if (value->is_string()) {
        return std::strtoll(value->get_string().c_str(), nullptr, 10);
    }
    return value->is_number() ? value->to_number<std::int64_t>() : otherwise;
}

} // namespace rhubarbwharf::standin
