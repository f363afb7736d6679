#include <agent/events.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbwharf::agent {

namespace internal {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_field = "data:";
constexpr std::string_view end_mark = "[DONE]";
constexpr std::string_view mark_member = "\"system_fingerprint\"";
constexpr std::string_view spaces = " \t:";

[[nodiscard]] auto carries_other_mark(event_scanner& scanner, const std::string_view text) -> bool {
    if (scanner.m_mark.empty()) {
        return false;
    }
    for (auto at = text.find(mark_member); at != std::string_view::npos; at = text.find(mark_member, at + 1)) {
        const auto value = text.find_first_not_of(spaces, at + mark_member.size());
        const auto rest = value == std::string_view::npos ? std::string_view{} : text.substr(value);
        const auto is_own = rest.starts_with('"') && rest.substr(1).starts_with(scanner.m_mark) &&
                            rest.substr(1 + scanner.m_mark.size()).starts_with('"');
        if (!is_own) {
            return true;
        }
        ++scanner.m_marks;
    }
    return false;
}

auto take(event_scanner& scanner, const std::string_view event, event_batch& batch) -> void {
    if (scanner.m_is_foreign || carries_other_mark(scanner, event)) {
        scanner.m_is_foreign = true;
        return;
    }
    if (event.starts_with(data_field)) {
        const auto text = event.substr(std::min(event.find_first_not_of(spaces, data_field.size()), event.size()));
        scanner.m_done = scanner.m_done || text.starts_with(end_mark);
        batch.m_tokens += text.starts_with(end_mark) ? 0U : 1U;
    }
    batch.m_bytes += event;
}

} // namespace internal

auto scan(event_scanner& scanner, const std::string_view bytes) -> event_batch {
    event_batch batch{};
    scanner.m_rest += bytes;
    if (!scanner.m_is_stream) {
        return batch;
    }
    std::size_t begin{};
    const std::string_view held{scanner.m_rest};
    for (auto end = held.find(internal::event_end); end != std::string_view::npos;
         end = held.find(internal::event_end, begin)) {
        const auto after = end + internal::event_end.size();
        internal::take(scanner, held.substr(begin, after - begin), batch);
        begin = after;
    }
    scanner.m_rest.erase(0, begin);
    return batch;
}

auto finish(event_scanner& scanner) -> event_batch {
    if (scanner.m_is_stream || scanner.m_is_foreign) {
        return {};
    }
    if (internal::carries_other_mark(scanner, scanner.m_rest)) {
        scanner.m_is_foreign = true;
        return {};
    }
    scanner.m_done = true;
    return {std::exchange(scanner.m_rest, {}), 0};
}

auto is_oversize(const event_scanner& scanner) noexcept -> bool {
    return scanner.m_rest.size() > event_bytes_max;
}

} // namespace rhubarbwharf::agent
