#include "arrivals.hpp"

#include <utility>

#include <platform/names.hpp>

namespace rhubarbwharf::standin_site {

namespace {

class recording_responder final : public net::responder {
public:
    recording_responder(std::shared_ptr<net::responder> target, std::shared_ptr<arrival> stay,
                        std::shared_ptr<bool> server_alive, std::string attempt)
        : m_target{std::move(target)}, m_stay{std::move(stay)}, m_alive{std::move(server_alive)}, m_attempt{std::move(
                                                                                                      attempt)} {
        set_close_handler({});
    }

    recording_responder(const recording_responder&) = delete;
    recording_responder(recording_responder&&) = delete;
    auto operator=(const recording_responder&) -> recording_responder& = delete;
    auto operator=(recording_responder&&) -> recording_responder& = delete;

    ~recording_responder() override { m_stay->end(stay_end::broke_off); }

    auto respond(net::http_response response) -> void override {
        const auto is_refusal = !net::find(response.m_headers, adapter::field::not_executed).empty();
        m_stay->end(is_refusal ? stay_end::refused : stay_end::answered);
        if (net::find(response.m_headers, adapter::field::attempt).empty()) {
            response.m_headers.push_back({std::string{adapter::field::attempt}, m_attempt});
        }
        m_target->respond(std::move(response));
    }

    auto start(net::http_response head) -> void override { m_target->start(std::move(head)); }

    auto write(const std::string_view part) -> void override { m_target->write(part); }

    auto finish() -> void override {
        m_stay->end(stay_end::answered);
        m_target->finish();
    }

    auto abort() -> void override {
        m_stay->end(stay_end::broke_off);
        m_target->abort();
    }

    auto on_close(std::function<void(net::close_reason)> handler) -> void override {
        set_close_handler(std::move(handler));
    }

    [[nodiscard]] auto pending() const noexcept -> std::size_t override { return m_target->pending(); }

private:
    auto set_close_handler(std::function<void(net::close_reason)> handler) -> void {
        m_target->on_close([stay = m_stay, alive = m_alive, handler = std::move(handler)](const net::close_reason why) {
            stay->end(*alive && why == net::close_reason::client_left ? stay_end::gateway_left : stay_end::broke_off);
            if (handler) {
                handler(why);
            }
        });
    }

    std::shared_ptr<net::responder> m_target;
    std::shared_ptr<arrival> m_stay;
    std::shared_ptr<bool> m_alive;
    std::string m_attempt{};
};

} // namespace

auto to_string(const stay_end value) noexcept -> std::string_view {
    switch (value) {
    case stay_end::held:
        return "held";
    case stay_end::refused:
        return "refused";
    case stay_end::answered:
        return "answered";
    case stay_end::broke_off:
        return "broken off by the server";
    case stay_end::gateway_left:
        break;
    }
    return "left by the gateway";
}

auto arrival::end(const stay_end value) -> void {
    if (m_end == stay_end::held) {
        m_end = value;
        m_ended_at = steady_now();
    }
}

auto record_stay(std::shared_ptr<net::responder> target, std::shared_ptr<arrival> stay,
                 std::shared_ptr<bool> server_alive, std::string attempt) -> std::shared_ptr<net::responder> {
    return std::make_shared<recording_responder>(std::move(target), std::move(stay), std::move(server_alive),
                                                 std::move(attempt));
}

} // namespace rhubarbwharf::standin_site
