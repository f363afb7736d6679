#include <agent/events.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbwharf::agent {

namespace internal {

constexpr std::string_view event_separator = "\n\n";
constexpr std::string_view data_field = "data:";
constexpr std::string_view done_marker = "[DONE]";
constexpr std::string_view fingerprint_member = "\"system_fingerprint\"";
constexpr std::string_view value_separators = " \t:";

/*! @brief Counts matching fingerprints until it finds one of another version. @return Whether it found one. */
[[nodiscard]] auto has_other_fingerprint(event_scanner& scanner, const std::string_view text) -> bool {
    if (scanner.m_expected_fingerprint.empty()) {
        return false;
    }
    for (auto position = text.find(fingerprint_member); position != std::string_view::npos;
         position = text.find(fingerprint_member, position + 1)) {
        const auto value = text.find_first_not_of(value_separators, position + fingerprint_member.size());
        const auto rest = value == std::string_view::npos ? std::string_view{} : text.substr(value);
        const auto is_expected = rest.starts_with('"') && rest.substr(1).starts_with(scanner.m_expected_fingerprint) &&
                                 rest.substr(1 + scanner.m_expected_fingerprint.size()).starts_with('"');
        if (!is_expected) {
            return true;
        }
        ++scanner.m_matching_fingerprints;
    }
    return false;
}

auto append_event(event_scanner& scanner, const std::string_view event, event_batch& batch) -> void {
    if (scanner.m_has_other_version || has_other_fingerprint(scanner, event)) {
        scanner.m_has_other_version = true;
        return;
    }
    if (event.starts_with(data_field)) {
        const auto text =
            event.substr(std::min(event.find_first_not_of(value_separators, data_field.size()), event.size()));
        scanner.m_is_done = scanner.m_is_done || text.starts_with(done_marker);
        batch.m_tokens += text.starts_with(done_marker) ? 0U : 1U;
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
    const std::string_view buffered{scanner.m_rest};
    for (auto end = buffered.find(internal::event_separator); end != std::string_view::npos;
         end = buffered.find(internal::event_separator, begin)) {
        const auto next = end + internal::event_separator.size();
        internal::append_event(scanner, buffered.substr(begin, next - begin), batch);
        begin = next;
    }
    scanner.m_rest.erase(0, begin);
    return batch;
}

auto finish(event_scanner& scanner) -> event_batch {
    if (scanner.m_is_stream || scanner.m_has_other_version) {
        return {};
    }
    if (internal::has_other_fingerprint(scanner, scanner.m_rest)) {
        scanner.m_has_other_version = true;
        return {};
    }
    scanner.m_is_done = true;
    return {std::exchange(scanner.m_rest, {}), 0};
}

auto is_oversize(const event_scanner& scanner) noexcept -> bool {
    return scanner.m_rest.size() > max_event_bytes;
}

auto held_bytes(const event_scanner& scanner) noexcept -> std::size_t {
    return scanner.m_rest.capacity();
}

} // namespace rhubarbwharf::agent
