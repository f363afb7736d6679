#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <loader/daemon.hpp>
#include <net/fixture.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::loader {

namespace {

constexpr std::uint64_t old_version = 1U;
constexpr std::uint64_t new_version = 2U;
constexpr std::size_t piece_count = 8U;
constexpr std::size_t corrupt_piece = 5U;
/*! @brief Longest time for which a piece may be corrupt when a load takes it, by the users' rules. */
constexpr duration max_corrupt_time = std::chrono::seconds{3};
constexpr std::string_view configuration =
    R"({"version":1,"routes":[],"limits":{},"tenants":[],"services":[{"name":"llm","engine":)"
    R"({"models":[{"name":"m"}],"layers":4,"chunks":8,"chunk-bytes":64}}]})";

[[nodiscard]] auto bytes_of(const std::uint64_t version, const std::size_t piece) -> std::string {
    return "bytes of piece " + std::to_string(piece) + " of version " + std::to_string(version);
}

[[nodiscard]] auto settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "loader";
    out.m_instance = "loader-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    out.m_runner.m_service = "llm";
    return out;
}

/*! @brief Runner with a staging area, as the platform's protocol describes it, on the loader's thread. */
struct runner {
    struct staged_piece {
        std::string m_bytes{};
        time_point m_corrupt_since{};
    };

    explicit runner(net::loop& loop)
        : m_loop{loop}, m_server{
                            loop, net::http_limits{},
                            [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
                                on_request(request, responder);
                            }} {
        net::ensure_listening(m_server);
    }

    auto stage(const std::uint64_t version) -> void {
        for (std::size_t piece = 0U; piece < piece_count; ++piece) {
            m_staged[piece] = {bytes_of(version, piece), {}};
        }
    }

    auto corrupt(const std::size_t piece) -> void { m_staged[piece] = {"other bytes", steady_now()}; }

    /*! @brief Answers nothing for a while, then all that has arrived meanwhile. */
    auto stand_still(const duration time) -> void { m_still_until = steady_now() + time; }

    auto on_request(const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void {
        if (request.m_target.starts_with("/api/order") && m_on_order) {
            std::exchange(m_on_order, nullptr)();
        }
        auto delay = std::max(m_still_until - steady_now(), duration::zero());
        if (request.m_target.starts_with("/api/stage-get") &&
            request.m_target.find("chunk-count") != std::string::npos) {
            m_busy_until = std::max(m_busy_until, steady_now() + delay) + m_read_time;
            delay = m_busy_until - steady_now();
        }
        m_loop.after(delay, [this, request, responder] { answer(request, *responder); });
    }

    auto answer(const net::http_request& request, net::responder& responder) -> void {
        if (request.m_target.starts_with("/api/report")) {
            responder.respond({200U, {}, report()});
        } else if (request.m_target.starts_with("/api/order")) {
            responder.respond({accept(boost::json::parse(request.m_body).as_object()), {}, {}});
        } else if (request.m_target.find("chunk-count") == std::string::npos) {
            boost::json::array held{};
            for (const auto& [piece, staged] : m_staged) {
                held.emplace_back(piece);
            }
            responder.respond({200U, {}, boost::json::serialize(boost::json::object{{"held", held}})});
        } else {
            const auto piece = std::stoul(request.m_target.substr(request.m_target.find('=') + 1U));
            if (request.m_method == "PUT") {
                m_staged[piece] = {request.m_body, {}};
                responder.respond({200U, {}, {}});
            } else {
                ++m_reads;
                responder.respond({200U, {}, m_staged[piece].m_bytes});
            }
        }
    }

    [[nodiscard]] auto report() const -> std::string {
        boost::json::array models{};
        if (m_version != 0U) {
            models.push_back(boost::json::object{{"name", "m"}, {"version", m_version}, {"adapters", {}}});
        }
        const boost::json::object layers{{"from", 0}, {"to", m_layers}, {"version", m_version}};
        return boost::json::serialize(boost::json::object{{"born", 7},
                                                          {"busy", false},
                                                          {"sequence", m_orders},
                                                          {"waiting", 0},
                                                          {"running", 0},
                                                          {"models", models},
                                                          {"layers", layers}});
    }

    /*! @brief Loads what is staged at this moment. @return Status of the response. */
    [[nodiscard]] auto accept(const boost::json::object& order) -> std::uint16_t {
        const auto version = order.at("version").to_number<std::uint64_t>();
        const auto* const end = order.if_contains("to");
        const auto layers = end == nullptr ? 4U : end->to_number<unsigned>();
        if (order.at("expected").to_number<std::uint64_t>() != m_orders) {
            return 409U;
        }
        if (version == m_version && layers == m_layers) {
            return 200U;
        }
        ++m_orders;
        m_version = version;
        m_layers = layers;
        m_holds_corrupt = std::ranges::any_of(m_staged, [](const auto& each) {
            const auto since = each.second.m_corrupt_since;
            return since != time_point{} && steady_now() - since > max_corrupt_time;
        });
        m_loads += layers == 4U ? 1U : 0U;
        return 202U;
    }

    net::loop& m_loop;
    std::map<std::size_t, staged_piece> m_staged{};
    duration m_read_time{};
    time_point m_busy_until{};
    time_point m_still_until{};
    /*! @brief Called when the next order arrives. */
    std::function<void()> m_on_order{};
    std::uint64_t m_version{old_version};
    unsigned m_layers{4U};
    std::uint64_t m_orders{};
    unsigned m_loads{};
    unsigned m_reads{};
    /*! @brief Whether the last load took a piece that had been corrupt for longer than the rules allow. */
    bool m_holds_corrupt{false};
    net::http_server m_server;
};

/*! @brief A loader with its runner, and a gateway that has the pieces of the new version and hears what is reported. */
struct fixture {
    daemon m_loader{settings(), {}};
    runner m_runner{m_loader.m_core.m_loop};
    net::http_server m_pieces{m_loader.m_core.m_loop, net::http_limits{},
                              [](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
                                  if (request.m_target.starts_with("/manifest")) {
                                      responder->respond({200U, {}, manifest()});
                                      return;
                                  }
                                  const auto piece =
                                      std::stoul(request.m_target.substr(request.m_target.find("index=") + 6U));
                                  responder->respond({200U, {}, bytes_of(new_version, piece)});
                              }};
    net::bus m_gateway;
    /*! @brief Proven version that was reported last; 0 for none. */
    std::uint64_t m_reported{};
    /*! @brief Whether the new version was reported as proven while the runner held it with a corrupt piece. */
    bool m_corrupt_reported{false};

    fixture()
        : m_gateway{m_loader.m_core.m_loop, "edge-1", net::bus_limits{},
                    [this](const std::string_view, const std::string_view bytes) {
                        on_frame(bytes);
                    }} {
        net::ensure_listening(m_pieces);
        REQUIRE(m_gateway.listen({"127.0.0.1", 0U}) == code::ok);
        REQUIRE(m_loader.m_core.m_bus.listen({"127.0.0.1", 0U}) == code::ok);
        m_loader.m_runner = net::local(m_runner.m_server.port());
        m_loader.m_runner_alive = true;
        node::accept_configuration(m_loader.m_core, configuration, "test");
        REQUIRE(m_loader.m_core.m_configuration != nullptr);
        fleet::member member{};
        member.m_instance = "edge-1";
        member.m_incarnation = 7U;
        member.m_caller_address = net::local(1U);
        member.m_bus_address = net::local(m_gateway.port());
        member.m_bulk_address = net::local(m_pieces.port());
        node::update_member(m_loader.m_core, member, true);
        m_loader.m_core.m_loop.every(report_interval, [this] { poll_runner(m_loader); });
        m_loader.m_core.m_loop.every(fetch_interval, [this] {
            m_loader.m_core.m_members["edge-1"].m_last_received = steady_now();
            advance_models(m_loader);
        });
    }

    [[nodiscard]] static auto manifest() -> std::string {
        boost::json::array digests{};
        for (std::size_t piece = 0U; piece < piece_count; ++piece) {
            digests.emplace_back(to_hex(sha256(bytes_of(new_version, piece))));
        }
        return boost::json::serialize(boost::json::object{
            {"model", "m"}, {"version", new_version}, {"chunk-bytes", 64}, {"layers", 4}, {"digests", digests}});
    }

    auto on_frame(const std::string_view bytes) -> void {
        wire::fleet::Frame frame{};
        REQUIRE(frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
        if (!frame.has_load() || frame.load().address().empty()) {
            return;
        }
        m_reported = frame.load().models().empty() ? 0U : frame.load().models(0).version();
        m_corrupt_reported = m_corrupt_reported || (m_reported == new_version && m_runner.m_holds_corrupt);
    }

    /*! @brief Begins the new version, of which all pieces are staged. */
    auto begin() -> void {
        m_runner.stage(new_version);
        auto& model = m_loader.m_models["m"];
        model.m_name = "m";
        begin_version(m_loader, model, new_version);
    }

    [[nodiscard]] auto model() -> model_state& { return m_loader.m_models.at("m"); }

    [[nodiscard]] auto wait_until(const std::function<bool()>& condition) -> bool {
        return net::run_until(m_loader.m_core.m_loop, condition);
    }

    [[nodiscard]] auto wait_until_served() -> bool {
        return wait_until([this] { return m_reported == new_version; });
    }
};

} // namespace

TEST_CASE("a runner that accepts its load at once serves it without further reads") {
    fixture fixture{};
    fixture.begin();
    REQUIRE(fixture.wait_until_served());
    CHECK(fixture.m_runner.m_loads == 1U);
    // Once to find what is staged, once before the order.
    CHECK(fixture.m_runner.m_reads == 2U * piece_count);
}

// The order was accepted 4 s after the last read, with a piece that had turned corrupt meanwhile, and was served.
TEST_CASE("a piece that turns corrupt while the runner stands still with the order is never served") {
    fixture fixture{};
    fixture.m_runner.m_on_order = [&] {
        fixture.m_runner.corrupt(corrupt_piece);
        fixture.m_runner.stand_still(std::chrono::seconds{4});
    };
    fixture.begin();
    REQUIRE(fixture.wait_until([&] { return fixture.m_runner.m_holds_corrupt; }));
    REQUIRE(fixture.wait_until_served());
    CHECK_FALSE(fixture.m_corrupt_reported);
    CHECK_FALSE(fixture.m_runner.m_holds_corrupt);
    CHECK(fixture.m_runner.m_loads == 2U);
}

// A runner that needed longer for all pieces than a piece may be corrupt unnoticed never got the version.
TEST_CASE("a runner that reads slowly and one piece at a time gets its load and serves it once it is proven") {
    fixture fixture{};
    fixture.m_runner.m_read_time = std::chrono::milliseconds{400};
    fixture.begin();
    REQUIRE(fixture.wait_until_served());
    CHECK(fixture.m_runner.m_loads == 1U);
}

// A loader that was restarted took what the runner held for intact.
TEST_CASE("a loader proves a version that its runner holds by an order of an earlier process") {
    for (const auto is_corrupt : {false, true}) {
        CAPTURE(is_corrupt);
        fixture fixture{};
        fixture.begin();
        fixture.m_runner.m_version = new_version;
        fixture.m_runner.m_orders = 3U;
        fixture.m_runner.m_read_time = std::chrono::milliseconds{20};
        if (is_corrupt) {
            fixture.m_runner.corrupt(corrupt_piece);
            fixture.m_runner.m_holds_corrupt = true;
        }
        REQUIRE(fixture.wait_until([&] { return fixture.m_loader.m_report_received; }));
        CHECK(fixture.m_reported == 0U);
        REQUIRE(fixture.wait_until_served());
        CHECK_FALSE(fixture.m_corrupt_reported);
        CHECK(fixture.m_runner.m_loads == (is_corrupt ? 1U : 0U));
    }
}

// A corrupt piece that is replaced while the runner may accept an order would be read intact after it was loaded.
TEST_CASE("no piece is staged while the runner may accept an order") {
    fixture fixture{};
    fixture.begin();
    auto& model = fixture.model();
    REQUIRE(fixture.wait_until([&] { return model.m_staged_scanned; }));
    record_order(model.m_open_orders, 7U, 0U);
    model.m_phase = load_phase::fetching;
    model.m_pieces[corrupt_piece] = piece_state::missing;
    fetch_pieces(fixture.m_loader, model);
    CHECK(model.m_active_fetches == 0U);
    model.m_open_orders = {};
    fetch_pieces(fixture.m_loader, model);
    CHECK(model.m_active_fetches == 1U);
}

} // namespace rhubarbwharf::loader
