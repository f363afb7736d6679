#include <soak/proxy.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace rhubarbwharf::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr duration added_delay = std::chrono::milliseconds{150};
constexpr std::size_t buffer_bytes = std::size_t{16} * 1024U;

struct proxy::state {
    state(asio::io_context& context, net::endpoint server)
        : m_context{context}, m_target{std::move(server)}, m_acceptor{context,
                                                                      {asio::ip::make_address("127.0.0.1"), 0U}} {}

    asio::io_context& m_context;
    net::endpoint m_target{};
    tcp::acceptor m_acceptor;
    link_fault m_fault{link_fault::none};
    std::set<std::shared_ptr<connection>> m_connections{};
};

/*! @brief Client connection and its server connection; pending operations keep it alive. */
struct proxy::connection : std::enable_shared_from_this<connection> {
    connection(tcp::socket client, std::shared_ptr<state> owner)
        : m_client{std::move(client)}, m_server{owner->m_context}, m_state{std::move(owner)} {}

    tcp::socket m_client;
    tcp::socket m_server;
    std::shared_ptr<state> m_state;
    std::array<char, buffer_bytes> m_upstream_buffer{};
    std::array<char, buffer_bytes> m_downstream_buffer{};

    auto start() -> void {
        const tcp::endpoint to{asio::ip::make_address(m_state->m_target.m_address), m_state->m_target.m_port};
        m_server.async_connect(to, [self = shared_from_this()](const boost::system::error_code failure) {
            if (failure) {
                self->reset();
                return;
            }
            self->read_next(self->m_client, self->m_server, self->m_upstream_buffer, true);
            self->read_next(self->m_server, self->m_client, self->m_downstream_buffer, false);
        });
    }

    auto read_next(tcp::socket& from, tcp::socket& to, std::array<char, buffer_bytes>& buffer, const bool is_upstream)
        -> void {
        from.async_read_some(asio::buffer(buffer),
                             [self = shared_from_this(), &from, &to, &buffer,
                              is_upstream](const boost::system::error_code failure, const std::size_t count) {
                                 if (failure) {
                                     self->reset();
                                     return;
                                 }
                                 self->forward(from, to, buffer, count, is_upstream);
                             });
    }

    auto forward(tcp::socket& from, tcp::socket& to, std::array<char, buffer_bytes>& buffer, const std::size_t count,
                 const bool is_upstream) -> void {
        const auto fault = m_state->m_fault;
        if (fault == link_fault::drop_all || (fault == link_fault::drop_responses && !is_upstream)) {
            read_next(from, to, buffer, is_upstream);
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(
            m_state->m_context, fault == link_fault::delay ? added_delay : duration::zero());
        timer->async_wait([self = shared_from_this(), timer, &from, &to, &buffer, count,
                           is_upstream](const boost::system::error_code) {
            boost::system::error_code failure{};
            asio::write(to, asio::buffer(buffer, count), failure);
            if (failure) {
                self->reset();
            } else {
                self->read_next(from, to, buffer, is_upstream);
            }
        });
    }

    auto reset() -> void {
        for (auto* const each : {&m_client, &m_server}) {
            boost::system::error_code ignored{};
            each->set_option(asio::socket_base::linger{true, 0}, ignored);
            each->close(ignored);
        }
        m_state->m_connections.erase(shared_from_this());
    }
};

namespace {

template <typename State, typename Connection>
auto accept(const std::shared_ptr<State>& owner) -> void {
    owner->m_acceptor.async_accept([owner](const boost::system::error_code failure, tcp::socket client) {
        if (failure) {
            return;
        }
        const auto accepted = std::make_shared<Connection>(std::move(client), owner);
        if (owner->m_fault == link_fault::reset) {
            accepted->reset();
        } else {
            owner->m_connections.insert(accepted);
            accepted->start();
        }
        accept<State, Connection>(owner);
    });
}

} // namespace

proxy::proxy(net::loop& owner, net::endpoint server)
    : m_state{std::make_shared<state>(owner.context(), std::move(server))} {
    accept<state, connection>(m_state);
}

proxy::~proxy() {
    boost::system::error_code ignored{};
    m_state->m_acceptor.close(ignored);
    for (const auto& each : std::set{m_state->m_connections}) {
        each->reset();
    }
}

auto proxy::address() const -> net::endpoint {
    return {"127.0.0.1", m_state->m_acceptor.local_endpoint().port()};
}

auto proxy::set_fault(const link_fault fault) -> void {
    m_state->m_fault = fault;
    if (fault == link_fault::reset) {
        for (const auto& each : std::set{m_state->m_connections}) {
            each->reset();
        }
    }
}

} // namespace rhubarbwharf::soak
