#include "net/server.hpp"

namespace rhubarbwharf::net::internal {

namespace {

/*! @brief Answers one request on its session; does nothing once the response has ended. */
class session_responder final : public responder {
public:
    explicit session_responder(std::shared_ptr<session> owner) : m_session{std::move(owner)} {}

    session_responder(const session_responder&) = delete;
    session_responder(session_responder&&) = delete;
    auto operator=(const session_responder&) -> session_responder& = delete;
    auto operator=(session_responder&&) -> session_responder& = delete;

    ~session_responder() override {
        if (!m_session) {
            return;
        }
        if (m_started) {
            m_session->close(close_reason::response_ended);
        } else {
            m_session->respond({internal_error_status, {}, {}});
        }
    }

    auto respond(http_response response) -> void override {
        const auto ended = end();
        if (ended && m_started) {
            ended->close(close_reason::response_ended);
        } else if (ended) {
            ended->respond(std::move(response));
        }
    }

    auto start(const http_response head) -> void override {
        if (m_session && !m_started) {
            m_started = true;
            m_session->start_chunks(head);
        }
    }

    auto write(const std::string_view part) -> void override {
        if (m_session && m_started) {
            m_session->write_chunk(part);
        }
    }

    auto finish() -> void override {
        const auto ended = end();
        if (ended && m_started) {
            ended->finish_chunks();
        } else if (ended) {
            ended->respond({internal_error_status, {}, {}});
        }
    }

    auto abort() -> void override {
        if (const auto ended = end()) {
            ended->close(close_reason::response_ended);
        }
    }

    auto on_close(std::function<void(close_reason)> handler) -> void override {
        if (m_session) {
            m_session->on_close(std::move(handler));
        }
    }

    [[nodiscard]] auto pending() const noexcept -> std::size_t override {
        return m_session ? m_session->pending() : 0U;
    }

private:
    static constexpr std::uint16_t internal_error_status = 500U;

    auto end() noexcept -> std::shared_ptr<session> { return std::exchange(m_session, nullptr); }

    std::shared_ptr<session> m_session;
    bool m_started{};
};

} // namespace

auto make_responder(std::shared_ptr<session> owner) -> std::shared_ptr<responder> {
    return std::make_shared<session_responder>(std::move(owner));
}

} // namespace rhubarbwharf::net::internal
