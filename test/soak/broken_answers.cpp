#include <doctest/doctest.h>

#include <soak/scripted_site.hpp>

namespace rhubarbwharf::soak {

namespace {

/*! @brief More than the kernel holds between a gateway and a server, so that an upload is never written whole. */
constexpr std::size_t long_body_bytes = std::size_t{24} * 1024U * 1024U;

/*! @brief Lets callers send long uploads. */
auto allow_long_bodies(scripted_site& tried) -> void {
    standin_site::configuration_options options{};
    options.m_max_body_bytes = 2U * long_body_bytes;
    tried.m_fixture.m_site.run_in_loop(
        [&](standin_site::site& site) { static_cast<void>(site.write_configuration(options)); });
}

} // namespace

TEST_CASE("the part of a plain response that a reset within a long upload leaves is no response") {
    const std::string upload(long_body_bytes, 'u');
    for (const auto end : {ending::close, ending::reset}) {
        scripted_site tried{"book", {unframed_head + "part", {}, end}};
        allow_long_bodies(tried);
        const auto got = tried.send_until_reached(standin_site::ledger_path, upload);
        CHECK(got.m_response.m_status == 502U);
        CHECK(got.m_response.m_body.find("part") == std::string::npos);
    }
}

TEST_CASE("the events of a stream that a reset within a long upload leaves are no whole stream") {
    const std::string upload(long_body_bytes, 'u');
    for (const auto end : {ending::close, ending::reset}) {
        scripted_site tried{"llm", {unframed_head + first_events(3U), {}, end}};
        allow_long_bodies(tried);
        standin_site::server_faults faults{};
        faults.m_resume_status = 500U;
        tried.m_fixture.set_server_faults(faults);
        const auto got = tried.send_until_reached(standin_site::model_path, upload);
        CHECK((got.m_end.m_code != code::ok || got.m_response.m_status >= 500U));
    }
}

TEST_CASE("a whole response to a long upload is passed on although its server drops the rest of the upload") {
    scripted_site tried{"book", {unframed_head + "whole", {}, ending::end_output_and_close}};
    allow_long_bodies(tried);
    const auto got = tried.send_until_reached(standin_site::ledger_path, std::string(long_body_bytes, 'u'));
    CHECK(got.m_response.m_status == 200U);
    CHECK(got.m_response.m_body == "whole");
}

} // namespace rhubarbwharf::soak
