#include <algorithm>
#include <set>
#include <thread>

#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <loader/daemon.hpp>
#include <net/fixture.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::loader {

namespace {

constexpr std::uint64_t version = 2U;
constexpr std::size_t pieces = 3U;
/*! @brief Longer than the users' rules let a piece be corrupt unnoticed. */
constexpr duration standstill = std::chrono::milliseconds{3'200};
/*! @brief Longest time for which a piece may be corrupt when a load takes it, by the users' rules. */
constexpr duration max_corrupt_time = std::chrono::milliseconds{3'000};

[[nodiscard]] auto settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "loader";
    out.m_instance = "loader-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

[[nodiscard]] auto bytes_of(const std::size_t piece) -> std::string {
    return "bytes of piece " + std::to_string(piece);
}

/*! @brief A loader whose pieces are all staged at a runner on the same thread. */
struct fixture {
    daemon m_loader{settings(), {}};
    net::http_server m_runner;
    std::set<std::size_t> m_corrupt{};
    /*! @brief Called before a piece is read back. */
    std::function<void(std::size_t)> m_on_read{};
    /*! @brief Time from a read's arrival until its answer. */
    duration m_read_time{};
    /*! @brief Time from an order's arrival until it is accepted. */
    duration m_order_time{};
    unsigned m_reads{};
    unsigned m_orders{};
    /*! @brief When each piece was last read. */
    std::vector<time_point> m_read_at{pieces};
    /*! @brief Whether a load was ordered while a piece was corrupt. */
    bool m_loaded_corrupt{false};

    explicit fixture(const std::size_t piece_count = pieces)
        : m_runner{m_loader.m_core.m_loop, net::http_limits{},
                   [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
                       on_request(request, responder);
                   }} {
        net::ensure_listening(m_runner);
        m_loader.m_runner = net::local(m_runner.port());
        auto& model = m_loader.m_models["m"];
        model.m_name = "m";
        model.m_version = version;
        model.m_phase = load_phase::fetching;
        model.m_staged_scanned = true;
        m_read_at.resize(piece_count);
        model.m_pieces.assign(piece_count, piece_state::held);
        model.m_manifest.emplace();
        for (std::size_t index = 0U; index < piece_count; ++index) {
            model.m_manifest->m_digests.push_back(sha256(bytes_of(index)));
        }
    }

    auto on_request(const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void {
        if (request.m_target.starts_with("/api/order")) {
            respond_after(m_order_time, [this, responder] {
                ++m_orders;
                m_loaded_corrupt = m_loaded_corrupt || !m_corrupt.empty();
                responder->respond({202U, {}, {}});
            });
            return;
        }
        const auto piece = std::stoul(request.m_target.substr(request.m_target.find('=') + 1U));
        ++m_reads;
        if (m_on_read) {
            m_on_read(piece);
        }
        respond_after(m_read_time, [this, responder, piece] {
            m_read_at[piece] = steady_now();
            responder->respond({200U, {}, m_corrupt.contains(piece) ? "other bytes" : bytes_of(piece)});
        });
    }

    auto respond_after(const duration delay, std::function<void()> task) -> void {
        if (delay <= duration::zero()) {
            task();
        } else {
            m_loader.m_core.m_loop.after(delay, std::move(task));
        }
    }

    /*! @brief Returns the time since the piece that was read first was read. */
    [[nodiscard]] auto age_of_reads() const -> duration { return steady_now() - std::ranges::min(m_read_at); }

    [[nodiscard]] auto model() -> model_state& { return m_loader.m_models.at("m"); }

    [[nodiscard]] auto wait_until(const std::function<bool()>& condition) -> bool {
        return net::run_until(m_loader.m_core.m_loop, condition);
    }
};

} // namespace

TEST_CASE("a load is ordered once all staged pieces have been read back") {
    fixture fixture{};
    verify_and_order_load(fixture.m_loader, fixture.model());
    REQUIRE(fixture.wait_until([&] { return fixture.m_orders == 1U; }));
    CHECK(fixture.m_reads == pieces);
    CHECK(fixture.model().m_phase == load_phase::loading);
}

TEST_CASE("pieces that were read back before the machine stood still are read again before the load") {
    for (const auto turns_corrupt : {false, true}) {
        CAPTURE(turns_corrupt);
        fixture fixture{};
        fixture.m_on_read = [&](const std::size_t piece) {
            if (piece == 0U && fixture.m_reads == pieces) {
                if (turns_corrupt) {
                    fixture.m_corrupt.insert(pieces - 1U);
                }
                std::this_thread::sleep_for(standstill);
            }
        };
        verify_and_order_load(fixture.m_loader, fixture.model());
        REQUIRE(fixture.wait_until(
            [&] { return fixture.m_orders > 0U || fixture.model().m_phase == load_phase::fetching; }));
        CHECK_FALSE(fixture.m_loaded_corrupt);
        CHECK(fixture.m_reads == 2U * pieces);
        CHECK(fixture.m_orders == (turns_corrupt ? 0U : 1U));
        CHECK(fixture.model().m_pieces.back() == (turns_corrupt ? piece_state::missing : piece_state::held));
    }
}

// A loader read one piece after the other and ordered the load after the fourth time, however long that had taken.
TEST_CASE("the pieces of a runner that takes long to read one are read in time for its load") {
    fixture fixture{12U};
    fixture.m_read_time = std::chrono::milliseconds{300};
    verify_and_order_load(fixture.m_loader, fixture.model());
    REQUIRE(fixture.wait_until([&] { return fixture.m_orders == 1U; }));
    CHECK(fixture.age_of_reads() < max_corrupt_time);
}

// A piece that turned corrupt while the runner had not accepted the order was not noticed for 2 s and more.
TEST_CASE("pieces that turn corrupt while an order is not answered are noticed") {
    fixture fixture{};
    fixture.m_loader.m_report_received = true;
    fixture.m_order_time = std::chrono::milliseconds{2'500};
    fixture.m_loader.m_core.m_loop.every(fetch_interval, [&] {
        fixture.m_loader.m_report.m_order_in_progress = false;
        advance_models(fixture.m_loader);
    });
    REQUIRE(fixture.wait_until([&] { return fixture.model().m_phase == load_phase::loading; }));
    const auto turned_at = steady_now();
    fixture.m_corrupt.insert(1U);
    REQUIRE(fixture.wait_until([&] { return fixture.model().m_pieces[1U] == piece_state::missing; }));
    CHECK(steady_now() - turned_at < std::chrono::seconds{1});
    CHECK(fixture.m_orders == 0U);
}

// Load pattern: runners that are taken away while a new version spreads. Their loaders stay, and each fetched the
// version over and over from the gateways of its data centre, as nothing could be staged.
TEST_CASE("no piece is fetched for a runner that does not answer, and fetching goes on once it does") {
    fixture fixture{};
    constexpr std::string_view configuration =
        R"({"version":1,"routes":[],"services":[{"name":"s"}],"limits":{},"tenants":[]})";
    auto& self = fixture.m_loader;
    node::accept_configuration(self.m_core, configuration, "test");
    REQUIRE(self.m_core.m_configuration != nullptr);
    auto requests = 0U;
    net::http_server gateway{self.m_core.m_loop, net::http_limits{},
                             [&requests](const net::http_request&, const std::shared_ptr<net::responder>& responder) {
                                 ++requests;
                                 responder->respond({404U, {}, {}});
                             }};
    net::ensure_listening(gateway);
    auto& row = self.m_core.m_members["gateway-1"];
    row.m_member.m_instance = "gateway-1";
    row.m_member.m_caller_address = net::local(1U);
    row.m_member.m_bulk_address = net::local(gateway.port());
    row.m_last_received = steady_now();
    std::ranges::fill(fixture.model().m_pieces, piece_state::missing);
    self.m_runner_alive = false;
    fetch_pieces(self, fixture.model());
    CHECK(fixture.model().m_active_fetches == 0U);
    self.m_runner_alive = true;
    fetch_pieces(self, fixture.model());
    CHECK(fixture.model().m_active_fetches > 0U);
    CHECK(fixture.wait_until([&] { return requests > 0U; }));
}

// Load pattern: a power cut of all, after which runners need seconds to answer. Gateways knew no loader whose runner
// had not reported, sent it no heartbeats, and each loader read the store every 2 s.
TEST_CASE("gateways hear of a loader before its runner answers") {
    daemon loader{settings(), {}};
    loader.m_runner = {"127.0.0.1", 1U};
    std::vector<std::string> heard{};
    net::bus gateway{loader.m_core.m_loop, "edge-1", net::bus_limits{},
                     [&](const std::string_view, const std::string_view bytes) {
                         wire::fleet::Frame frame{};
                         REQUIRE(frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
                         CHECK(frame.load().address().empty());
                         heard.push_back(frame.load().self().instance());
                     }};
    REQUIRE(gateway.listen({"127.0.0.1", 0U}) == code::ok);
    REQUIRE(loader.m_core.m_bus.listen({"127.0.0.1", 0U}) == code::ok);
    fleet::member member{};
    member.m_instance = "edge-1";
    member.m_incarnation = 7U;
    member.m_caller_address = {"127.0.0.1", 1U};
    member.m_bus_address = net::local(gateway.port());
    node::update_member(loader.m_core, member, true);
    poll_runner(loader);
    REQUIRE(net::run_until(loader.m_core.m_loop, [&] { return !heard.empty(); }));
    CHECK(heard == std::vector<std::string>{"loader-1"});
}

} // namespace rhubarbwharf::loader
