#include <array>
#include <cerrno>
#include <charconv>

#include <fcntl.h>
#include <unistd.h>

#include <rhubarbwharf/net/events.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::net {

namespace internal {

/*! @brief Time for which lines are gathered into one write. */
constexpr duration gather_time = std::chrono::milliseconds{100};
/*! @brief Bytes that may wait for the reader; about 1,000 lines. */
constexpr std::size_t most_waiting_bytes = std::size_t{256} * 1024U;

namespace {

struct value_writer {
    std::string& m_out;

    auto operator()(const std::string_view value) const -> void { m_out.append(json_string(value)); }

    auto operator()(const bool value) const -> void { m_out.append(value ? "true" : "false"); }

    template <typename Number>
    auto operator()(const Number value) const -> void {
        std::array<char, 32U> digits{};
        auto end = digits.data();
        if constexpr (std::is_floating_point_v<Number>) {
            constexpr int decimals = 3;
            end = std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed, decimals)
                      .ptr;
        } else {
            end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
        }
        m_out.append(digits.data(), static_cast<std::size_t>(end - digits.data()));
    }
};

} // namespace

} // namespace internal

event_log::event_log(loop& owner, const std::string_view instance) : m_loop{owner}, m_instance{json_string(instance)} {
    const auto flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
    }
    m_loop.set_event_log(this);
}

event_log::~event_log() {
    if (m_loop.find_event_log() == this) {
        m_loop.set_event_log(nullptr);
    }
    flush();
}

auto event_log::write(const std::string_view event, const std::initializer_list<event_field> fields) -> void {
    if (m_text.size() > internal::most_waiting_bytes) {
        ++m_dropped;
        return;
    }
    if (m_told != m_dropped) {
        const auto lost = m_dropped - m_told;
        m_told = m_dropped;
        write("log.dropped", {{"lines", static_cast<std::int64_t>(lost)}});
    }
    m_text.append("{\"at_ms\":").append(std::to_string(wall_now().time_since_epoch().count()));
    m_text.append(",\"instance\":").append(m_instance).append(",\"event\":\"").append(event).push_back('"');
    for (const auto& field : fields) {
        m_text.append(",\"").append(field.m_name).append("\":");
        std::visit(internal::value_writer{m_text}, field.m_value);
    }
    m_text.append("}\n");
    flush_later();
}

auto event_log::flush() -> void {
    while (!m_text.empty()) {
        const auto count = ::write(m_descriptor, m_text.data(), m_text.size());
        if (count <= 0) {
            return;
        }
        m_text.erase(0U, static_cast<std::size_t>(count));
    }
}

auto event_log::flush_later() -> void {
    if (m_armed) {
        return;
    }
    m_armed = true;
    m_loop.after(internal::gather_time, [this] {
        m_armed = false;
        flush();
        if (!m_text.empty()) {
            flush_later();
        }
    });
}

} // namespace rhubarbwharf::net
