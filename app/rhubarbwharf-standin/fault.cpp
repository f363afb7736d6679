#include <algorithm>
#include <cstdlib>
#include <deque>

#include "standin.hpp"

namespace rhubarbwharf::standin {

namespace internal {

/*! @brief Parts of a streamed response that are forwarded before the connection is aborted. */
constexpr auto parts_before_cut = 3U;

/*! @brief Responder that applies a fault to the response of one request. */
class fault_injecting_responder : public net::responder,
                                  public std::enable_shared_from_this<fault_injecting_responder> {
public:
    fault_injecting_responder(net::loop& owner, std::shared_ptr<net::responder> inner, fault injected)
        : m_owner{owner}, m_inner{std::move(inner)}, m_fault{std::move(injected)} {}

    auto begin_stall() -> void {
        m_stalled = m_fault.m_kind == "stall";
        if (m_stalled) {
            m_owner.after(m_fault.m_duration, [self = shared_from_this()] { self->end_stall(); });
        }
    }

    auto respond(net::http_response response) -> void override {
        if (m_fault.m_kind == "lose_answer") {
            return m_inner->abort();
        }
        if (m_fault.m_kind == "cut") {
            const auto half = response.m_body.substr(0, response.m_body.size() / 2U);
            m_inner->start(response);
            m_inner->write(half);
            m_owner.after(std::chrono::milliseconds{20}, [inner = m_inner] { inner->abort(); });
            return;
        }
        response.m_body = corrupt(response.m_body);
        run_or_defer([inner = m_inner, response] { inner->respond(response); });
    }

    auto start(net::http_response head) -> void override {
        if (m_fault.m_kind != "lose_answer") {
            run_or_defer([inner = m_inner, head] { inner->start(head); });
        }
    }

    auto write(const std::string_view part) -> void override {
        if (m_fault.m_kind == "lose_answer" || m_cut) {
            return;
        }
        if (m_fault.m_kind == "cut" && m_parts_written++ == parts_before_cut) {
            m_cut = true;
            return m_inner->abort();
        }
        run_or_defer([inner = m_inner, text = corrupt(std::string{part})] { inner->write(text); });
    }

    auto finish() -> void override {
        if (m_cut) {
            return;
        }
        if (m_fault.m_kind == "lose_answer" || m_fault.m_kind == "cut") {
            return m_inner->abort();
        }
        run_or_defer([inner = m_inner] { inner->finish(); });
    }

    auto abort() -> void override { m_inner->abort(); }

    auto on_close(std::function<void(net::close_reason)> handler) -> void override {
        m_inner->on_close(std::move(handler));
    }

    [[nodiscard]] auto pending() const noexcept -> std::size_t override { return m_inner->pending(); }

private:
    auto run_or_defer(std::function<void()> operation) -> void {
        if (m_stalled) {
            m_deferred.push_back(std::move(operation));
            return;
        }
        operation();
    }

    auto end_stall() -> void {
        m_stalled = false;
        for (const auto& operation : m_deferred) {
            operation();
        }
        m_deferred.clear();
    }

    [[nodiscard]] auto corrupt(std::string text) -> std::string {
        if (m_fault.m_kind == "corrupt" && !m_corrupted && !text.empty()) {
            auto& byte = text[text.size() / 2U];
            byte = static_cast<char>(byte ^ 1);
            m_corrupted = true;
        }
        return text;
    }

    net::loop& m_owner;
    std::shared_ptr<net::responder> m_inner;
    fault m_fault;
    std::deque<std::function<void()>> m_deferred{};
    unsigned m_parts_written{};
    bool m_stalled{};
    bool m_cut{};
    bool m_corrupted{};
};

auto set_fault(fault_table& faults, const net::http_request& request, net::responder& responder) -> void {
    const auto body = parse_object(request.m_body);
    fault added{};
    added.m_kind = string_member(body, "kind");
    added.m_count = static_cast<std::uint64_t>(integer_member(body, "count"));
    added.m_duration = std::chrono::milliseconds{integer_member(body, "ms")};
    added.m_pattern = string_member(body, "match");
    if (added.m_kind == "none") {
        faults.m_active.clear();
        faults.m_down_until = {};
    } else if (added.m_kind == "down") {
        faults.m_down_until = steady_now() + added.m_duration;
    } else {
        faults.m_active.push_back(added);
    }
    if (faults.m_on_set) {
        faults.m_on_set(added);
    }
    responder.respond(json_response(200, boost::json::object{{"set", added.m_kind}}));
}

[[nodiscard]] auto matches(const fault& injected, const net::http_request& request) -> bool {
    return request.m_target.find(injected.m_pattern) != std::string::npos ||
           request.m_body.find(injected.m_pattern) != std::string::npos;
}

[[nodiscard]] auto consume_response_fault(fault_table& faults, const net::http_request& request)
    -> std::optional<fault> {
    for (const auto* kind : {"stall", "cut", "corrupt", "lose_answer"}) {
        if (auto found = consume_fault(faults, kind, request)) {
            return found;
        }
    }
    return std::nullopt;
}

/*! @brief Exits the process, or, if the fault has a duration, resets the role and aborts requests for that time. */
auto crash(fault_table& faults, const fault& injected) -> void {
    if (injected.m_duration == duration::zero()) {
        std::_Exit(1);
    }
    faults.m_down_until = steady_now() + injected.m_duration;
    if (faults.m_on_set) {
        faults.m_on_set({.m_kind = "crashed", .m_count = 0, .m_duration = injected.m_duration, .m_pattern = {}});
    }
}

} // namespace internal

auto consume_fault(fault_table& faults, const std::string_view kind, const net::http_request& request)
    -> std::optional<fault> {
    const auto found = std::find_if(faults.m_active.begin(), faults.m_active.end(), [&](const fault& injected) {
        return injected.m_kind == kind && internal::matches(injected, request);
    });
    if (found == faults.m_active.end()) {
        return std::nullopt;
    }
    auto consumed = *found;
    if (found->m_count > 0 && --found->m_count == 0) {
        faults.m_active.erase(found);
    }
    return consumed;
}

auto find_fault(const fault_table& faults, const std::string_view kind) -> const fault* {
    const auto found = std::find_if(faults.m_active.begin(), faults.m_active.end(),
                                    [kind](const fault& injected) { return injected.m_kind == kind; });
    return found == faults.m_active.end() ? nullptr : &*found;
}

auto with_faults(net::loop& owner, const std::shared_ptr<fault_table>& faults, const net::http_handler& inner)
    -> net::http_handler {
    return [&owner, faults, inner](net::http_request request, std::shared_ptr<net::responder> responder) {
        if (request.m_method == "POST" && request.m_target == "/fault") {
            return internal::set_fault(*faults, request, *responder);
        }
        if (steady_now() < faults->m_down_until) {
            return responder->abort();
        }
        if (const auto crashing = consume_fault(*faults, "crash_on", request)) {
            internal::crash(*faults, *crashing);
            return responder->abort();
        }
        const auto injected = internal::consume_response_fault(*faults, request);
        if (!injected) {
            return inner(std::move(request), std::move(responder));
        }
        auto faulty = std::make_shared<internal::fault_injecting_responder>(owner, std::move(responder), *injected);
        faulty->begin_stall();
        inner(std::move(request), std::move(faulty));
    };
}

auto json_response(const std::uint16_t status, const boost::json::value& value) -> net::http_response {
    return {.m_status = status,
            .m_headers = {{"Content-Type", "application/json"}},
            .m_body = boost::json::serialize(value)};
}

auto parse_object(const std::string_view text) -> boost::json::object {
    boost::system::error_code error{};
    auto value = boost::json::parse(text, error);
    return error || !value.is_object() ? boost::json::object{} : std::move(value.get_object());
}

auto string_member(const boost::json::object& object, const std::string_view name) -> std::string {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string{value->get_string()} : std::string{};
}

auto integer_member(const boost::json::object& object, const std::string_view name, const std::int64_t fallback)
    -> std::int64_t {
    const auto* value = object.if_contains(name);
    if (value == nullptr) {
        return fallback;
    }
    if (value->is_string()) {
        return std::strtoll(value->get_string().c_str(), nullptr, 10);
    }
    return value->is_number() ? value->to_number<std::int64_t>() : fallback;
}

} // namespace rhubarbwharf::standin
