#include <algorithm>
#include <array>

#include <rhubarbwharf/core/code.hpp>

namespace rhubarbwharf {

namespace internal {

constexpr auto codes = std::to_array<code_info>({
    {code::ok, "ok", 200, "Done."},
    {code::bad_request, "bad_request", 400, "The request is not well formed."},
    {code::unauthorised, "unauthorised", 401, "The key is missing or belongs to no organisation or operator."},
    {code::not_found, "not_found", 404, "There is no such path, chunk or instance."},
    {code::too_large, "too_large", 413, "A header, body or message is over its limit."},
    {code::unknown_model, "unknown_model", 404, "No group is set to serve this model."},
    {code::method_not_allowed, "method_not_allowed", 405, "The path does not take this method."},
    {code::slow_sender, "slow_sender", 408, "The request did not arrive within its time."},
    {code::no_backend_server, "no_backend_server", 503, "No backend server that could serve the request is live."},
    {code::over_share, "over_share", 429, "The organisation has used up its share, and no share is free to borrow."},
    {code::overloaded, "overloaded", 503, "All backend servers that could serve the request are at their limits."},
    {code::deadline_passed, "deadline_passed", 504, "The deadline passed before an answer began."},
    {code::quarantined, "quarantined", 422, "The request has crashed backend servers and is held back."},
    {code::draining, "draining", 503, "The instance is leaving and takes no new work."},
    {code::wrong_version, "wrong_version", 503, "The backend server does not hold the version asked for."},
    {code::stale_ticket, "stale_ticket", 503, "The dispatch was made under an older ticket than the one in force."},
    {code::cut_stream, "cut_stream", 502, "The answer's stream was cut and could not be resumed."},
    {code::backend_server_failed, "backend_server_failed", 502, "The backend server failed or answered wrongly."},
    {code::cancelled, "cancelled", 499, "The caller left before the answer ended."},
    {code::key_missing, "key_missing", 400, "A non-idempotent operation needs an idempotency key."},
    {code::key_expired, "key_expired", 422, "The idempotency key is older than the retention."},
    {code::key_reused, "key_reused", 422, "The idempotency key was used before with another body."},
    {code::outcome_unknown, "outcome_unknown", 502, "The call may have run; it is not run again."},
    {code::not_owner, "not_owner", 503, "The instance does not own the key's shard."},
    {code::journal_unavailable, "journal_unavailable", 503, "The claim could not be written, so the call was not run."},
    {code::refused_late, "refused_late", 409, "The request was refused before; this late copy is refused too."},
    {code::fenced, "fenced", 409, "The order or write carries a fencing number that has been passed."},
    {code::in_progress, "in_progress", 409, "A call with this idempotency key is running."},
    {code::ticket_conflict, "ticket_conflict", 409, "A higher ticket is in force in a scope of this ticket."},
    {code::ticket_malformed, "ticket_malformed", 400, "The ticket is not well formed."},
    {code::scope_unknown, "scope_unknown", 422, "The ticket names a scope that does not exist."},
    {code::state_too_large, "state_too_large", 413, "The whole desired state would pass its limit."},
    {code::digest_mismatch, "digest_mismatch", 502, "The bytes do not have the digest that the manifest names."},
    {code::manifest_malformed, "manifest_malformed", 422, "The manifest is not well formed."},
    {code::chunk_unavailable, "chunk_unavailable", 503, "No peer and no origin could give the chunk."},
    {code::incomplete, "incomplete", 503, "The version is not whole yet."},
    {code::load_failed, "load_failed", 502, "The engine did not confirm the version."},
    {code::platform_unavailable, "platform_unavailable", 503, "The platform's key-value service does not answer."},
    {code::compare_failed, "compare_failed", 409, "Another writer changed the key first."},
    {code::rate_limited, "rate_limited", 503, "The set rate of calls on the platform's service is used up."},
    {code::lease_lost, "lease_lost", 503, "The lease has run out or was revoked."},
    {code::settings_unreadable, "settings_unreadable", 500, "The settings file can't be read."},
    {code::settings_syntax, "settings_syntax", 500, "The settings file is not JSON with comments."},
    {code::settings_unknown_key, "settings_unknown_key", 500, "The settings hold a key that does not exist."},
    {code::settings_type, "settings_type", 500, "A setting has a value of the wrong type."},
    {code::settings_range, "settings_range", 500, "A setting is outside its allowed range."},
    {code::settings_missing_key, "settings_missing_key", 500, "A required setting is missing."},
    {code::connection_failed, "connection_failed", 502, "The connection could not be made or was lost."},
    {code::timed_out, "timed_out", 504, "No answer came within the time set."},
    {code::malformed_frame, "malformed_frame", 400, "A frame between processes could not be read."},
    {code::wrong_protocol, "wrong_protocol", 400, "A frame has another protocol version."},
    {code::send_queue_full, "send_queue_full", 503, "The peer's send queue is full."},
});

} // namespace internal

auto code_table() noexcept -> std::span<const code_info> {
    return internal::codes;
}

auto describe(const code value) noexcept -> const code_info& {
    const auto* const found = std::ranges::find(internal::codes, value, &code_info::m_code);
    return found != internal::codes.end() ? *found : describe(code::bad_request);
}

auto to_string(const outcome value) noexcept -> std::string_view {
    return value == outcome::not_run ? "not_run" : "unknown";
}

} // namespace rhubarbwharf
