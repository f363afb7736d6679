#include "crash.hpp"

#include <algorithm>
#include <utility>

#include <platform/names.hpp>

#include "runner.hpp"

namespace rhubarbwharf::standin_site {

namespace {

constexpr duration listen_retry_time = std::chrono::milliseconds{50};

[[nodiscard]] auto held_attempts(const arrivals& stays, const std::string& server) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& [attempt, at_servers] : stays) {
        if (std::ranges::any_of(at_servers, [&](const auto& each) {
                return each->m_end == stay_end::held && each->m_server == server;
            })) {
            out.push_back(attempt);
        }
    }
    return out;
}

} // namespace

auto shared_parts(std::string_view prompt_prefix) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (auto comma = prompt_prefix.find(','); comma != std::string_view::npos; comma = prompt_prefix.find(',')) {
        const auto entry = prompt_prefix.substr(0U, comma);
        out.emplace_back(entry.substr(0U, entry.find(':')));
        prompt_prefix.remove_prefix(comma + 1U);
    }
    return out;
}

auto make_prompt_event(const net::http_request& request, const bool is_first_arrival) -> prompt_event {
    return {steady_now(), std::string{net::find(request.m_headers, adapter::field::attempt)},
            std::string{net::find(request.m_headers, adapter::field::organisation)},
            shared_parts(net::find(request.m_headers, adapter::field::prompt_parts)), is_first_arrival};
}

auto find_crash_part(const crash_faults& faults, const prompt_event& request) -> std::string {
    const auto found = std::ranges::find_if(
        request.m_parts, [&](const std::string& part) { return faults.m_crash_parts.contains(part); });
    return found == request.m_parts.end() ? std::string{} : *found;
}

auto server::begin_answer(prompt_event request) -> bool {
    const auto part = find_crash_part(m_observations.m_crash_faults, request);
    if (!part.empty()) {
        crash(part);
        return false;
    }
    if (!request.m_parts.empty()) {
        request.m_at = steady_now();
        m_observations.m_prompts.m_begins.push_back(std::move(request));
    }
    return true;
}

auto server::crash_after_events(const std::string& body, const unsigned events) -> bool {
    const auto& faults = m_observations.m_crash_faults;
    if (faults.m_crash_body.empty() || body != faults.m_crash_body || events != faults.m_crash_after_events) {
        return false;
    }
    crash(body);
    return true;
}

auto server::crash(const std::string& part) -> void {
    if (m_server == nullptr) {
        return;
    }
    auto& crashes = m_observations.m_prompts.m_crashes;
    crashes.push_back({steady_now(), m_options.m_id, part, held_attempts(m_observations.m_stays, m_options.m_id)});
    *std::exchange(m_alive, std::make_shared<bool>(true)) = false;
    m_server.reset();
    m_unanswered.clear();
    const auto& faults = m_observations.m_crash_faults;
    m_loop.after(faults.m_entry_time, [&registry = m_store, id = m_options.m_id] { registry.remove("servers/" + id); });
    m_loop.after(faults.m_down_time, [this, alive = m_alive] {
        if (*alive) {
            come_back();
        }
    });
    m_options.m_id = m_options.m_id.substr(0U, m_options.m_id.rfind('-')) + "-c" + std::to_string(crashes.size());
}

auto server::come_back() -> void {
    m_options.m_version = 0U;
    m_accepted_orders = 0U;
    m_running_requests = 0U;
    m_loading = false;
    m_draining = false;
    m_draining_since = {};
    m_leaving_since = {};
    m_pause_requested_at = {};
    m_pause_requested_until = {};
    if (!start(m_port)) {
        m_server.reset();
        m_loop.after(listen_retry_time, [this, alive = m_alive] {
            if (*alive) {
                come_back();
            }
        });
    }
}

} // namespace rhubarbwharf::standin_site
