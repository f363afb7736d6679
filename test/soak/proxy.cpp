#include <soak/proxy.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace rhubarbwharf::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr duration late_time = std::chrono::milliseconds{150};
constexpr std::size_t part_bytes = std::size_t{16} * 1024U;

struct proxy::state {
    state(asio::io_context& context, net::endpoint server)
        : m_context{context}, m_server{std::move(server)}, m_acceptor{context,
                                                                      {asio::ip::make_address("127.0.0.1"), 0U}} {}

    asio::io_context& m_context;
    net::endpoint m_server{};
    tcp::acceptor m_acceptor;
    harm m_harm{harm::none};
    std::set<std::shared_ptr<link>> m_links{};
};

/*! @brief One connection through the proxy, kept alive by its operations. */
struct proxy::link : std::enable_shared_from_this<link> {
    link(tcp::socket client, std::shared_ptr<state> owner)
        : m_client{std::move(client)}, m_server{owner->m_context}, m_owner{std::move(owner)} {}

    tcp::socket m_client;
    tcp::socket m_server;
    std::shared_ptr<state> m_owner;
    std::array<char, part_bytes> m_up{};
    std::array<char, part_bytes> m_down{};

    auto start() -> void {
        const tcp::endpoint to{asio::ip::make_address(m_owner->m_server.m_address), m_owner->m_server.m_port};
        m_server.async_connect(to, [self = shared_from_this()](const boost::system::error_code failure) {
            if (failure) {
                self->reset();
                return;
            }
            self->pump(self->m_client, self->m_server, self->m_up, true);
            self->pump(self->m_server, self->m_client, self->m_down, false);
        });
    }

    auto pump(tcp::socket& from, tcp::socket& to, std::array<char, part_bytes>& part, const bool is_up) -> void {
        from.async_read_some(asio::buffer(part), [self = shared_from_this(), &from, &to, &part, is_up](
                                                     const boost::system::error_code failure, const std::size_t count) {
            if (failure) {
                self->reset();
                return;
            }
            self->pass(from, to, part, count, is_up);
        });
    }

    auto pass(tcp::socket& from, tcp::socket& to, std::array<char, part_bytes>& part, const std::size_t count,
              const bool is_up) -> void {
        const auto kind = m_owner->m_harm;
        if (kind == harm::silence || (kind == harm::one_way && !is_up)) {
            pump(from, to, part, is_up);
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_owner->m_context,
                                                                kind == harm::delay ? late_time : duration::zero());
        timer->async_wait(
            [self = shared_from_this(), timer, &from, &to, &part, count, is_up](const boost::system::error_code) {
                boost::system::error_code failure{};
                asio::write(to, asio::buffer(part, count), failure);
                if (failure) {
                    self->reset();
                } else {
                    self->pump(from, to, part, is_up);
                }
            });
    }

    auto reset() -> void {
        for (auto* const each : {&m_client, &m_server}) {
            boost::system::error_code ignored{};
            each->set_option(asio::socket_base::linger{true, 0}, ignored);
            each->close(ignored);
        }
        m_owner->m_links.erase(shared_from_this());
    }
};

namespace {

template <typename State, typename Link>
auto accept(const std::shared_ptr<State>& owner) -> void {
    owner->m_acceptor.async_accept([owner](const boost::system::error_code failure, tcp::socket client) {
        if (failure) {
            return;
        }
        const auto made = std::make_shared<Link>(std::move(client), owner);
        if (owner->m_harm == harm::reset) {
            made->reset();
        } else {
            owner->m_links.insert(made);
            made->start();
        }
        accept<State, Link>(owner);
    });
}

} // namespace

proxy::proxy(net::loop& owner, net::endpoint server)
    : m_state{std::make_shared<state>(owner.context(), std::move(server))} {
    accept<state, link>(m_state);
}

proxy::~proxy() {
    boost::system::error_code ignored{};
    m_state->m_acceptor.close(ignored);
    for (const auto& each : std::set{m_state->m_links}) {
        each->reset();
    }
}

auto proxy::address() const -> net::endpoint {
    return {"127.0.0.1", m_state->m_acceptor.local_endpoint().port()};
}

auto proxy::set(const harm kind) -> void {
    m_state->m_harm = kind;
    if (kind == harm::reset) {
        for (const auto& each : std::set{m_state->m_links}) {
            each->reset();
        }
    }
}

} // namespace rhubarbwharf::soak
