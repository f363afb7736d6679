#include <algorithm>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/execution/segment.hpp>

namespace rhubarbwharf::execution {

namespace internal {

constexpr std::size_t number_digits = 12;

[[nodiscard]] auto parse_key(const std::string& bytes) -> std::optional<call_key> {
    if (bytes.size() != call_key::size_bytes) {
        return std::nullopt;
    }
    call_key key{};
    std::ranges::transform(bytes, key.m_bytes.begin(), [](const char byte) { return static_cast<std::uint8_t>(byte); });
    return key;
}

auto to_wire(const record& value, wire::JournalRecord& out) -> void {
    out.set_kind(static_cast<wire::RecordKind>(value.m_kind));
    out.set_key(std::string{as_bytes(value.m_key)});
    if (value.m_kind == record_kind::claim) {
        out.set_body(std::string{as_bytes(value.m_content)});
        out.set_key_time_ms(value.m_key_time_ms);
    }
    if (value.m_kind == record_kind::end) {
        out.set_status(value.m_answer.m_status);
        out.set_content_type(value.m_answer.m_content_type);
        out.set_answer(value.m_answer.m_body);
        out.set_cut(value.m_answer.m_is_body_omitted);
    }
}

[[nodiscard]] auto from_wire(const wire::JournalRecord& in) -> std::optional<record> {
    const auto key = parse_key(in.key());
    const auto is_claim = in.kind() == wire::RECORD_CLAIM;
    const auto content = is_claim ? parse_key(in.body()) : call_key{};
    if (!key || !content || in.kind() < wire::RECORD_CLAIM || in.kind() > wire::RECORD_RELEASE) {
        return std::nullopt;
    }
    record value{};
    value.m_kind = static_cast<record_kind>(in.kind());
    value.m_key = *key;
    value.m_content = *content;
    value.m_key_time_ms = in.key_time_ms();
    value.m_answer = {in.status(), in.content_type(), in.answer(), in.cut()};
    return value;
}

[[nodiscard]] auto zero_padded(const std::uint64_t number) -> std::string {
    const auto digits = std::to_string(number);
    return std::string(number_digits - std::min(number_digits, digits.size()), '0') + digits;
}

} // namespace internal

auto encode_header(const segment& value) -> std::string {
    wire::JournalSegment out{};
    out.set_number(value.m_number);
    out.set_token(value.m_token.value());
    out.set_owner(value.m_owner);
    out.set_write(value.m_write_number);
    out.set_sealed(value.m_sealed);
    return out.SerializeAsString();
}

auto encode_records(const std::span<const record> records) -> std::string {
    wire::JournalSegment out{};
    for (const auto& value : records) {
        internal::to_wire(value, *out.add_records());
    }
    return out.SerializeAsString();
}

auto decode(const std::string_view bytes) -> std::optional<segment> {
    wire::JournalSegment in{};
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    segment value{in.number(), fencing_token{in.token()}, in.owner(), in.write(), in.sealed(), {}};
    value.m_records.reserve(static_cast<std::size_t>(in.records_size()));
    for (const auto& item : in.records()) {
        auto read = internal::from_wire(item);
        if (!read) {
            return std::nullopt;
        }
        value.m_records.push_back(std::move(*read));
    }
    return value;
}

auto segment_prefix(const std::string_view service, const shard_id shard) -> std::string {
    return "rhubarbwharf/journal/" + std::string{service} + '/' + std::to_string(shard.value()) + '/';
}

auto segment_key(const std::string_view service, const shard_id shard, const std::uint64_t number) -> std::string {
    return segment_prefix(service, shard) + internal::zero_padded(number);
}

auto owner_prefix(const std::string_view service) -> std::string {
    return "rhubarbwharf/owner/" + std::string{service} + '/';
}

auto owner_key(const std::string_view service, const shard_id shard) -> std::string {
    return owner_prefix(service) + std::to_string(shard.value());
}

} // namespace rhubarbwharf::execution
