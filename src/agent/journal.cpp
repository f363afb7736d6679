#include <agent/journal.hpp>

#include <algorithm>
#include <charconv>

#include <agent/calls.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::agent {

namespace internal {

/*! @brief Share of the write rate limit used by the journal; the rest is reserved for leases and owner keys. */
constexpr double journal_write_share = 0.8;
/*! @brief Time after the start to wait for the first list of members from an entry. */
constexpr duration member_discovery_timeout = std::chrono::seconds{3};

auto execute_commands(daemon& self, execution::commands& commands) -> void;

[[nodiscard]] auto make_options(const config::settings& settings) -> execution::options {
    const auto& execution_settings = settings.m_execution;
    execution::options options{};
    options.m_service = settings.m_backend.m_group;
    options.m_shard_count = execution_settings.m_shards;
    options.m_lease_ttl = std::chrono::seconds{execution_settings.m_lease_s};
    options.m_lease_margin = std::chrono::milliseconds{execution_settings.m_lease_margin_ms};
    options.m_retention = std::chrono::seconds{execution_settings.m_retention_s};
    options.m_group_commit_delay = std::chrono::milliseconds{execution_settings.m_group_commit_ms};
    options.m_max_segment_bytes = execution_settings.m_segment_bytes;
    options.m_max_answer_bytes = execution_settings.m_answer_bytes;
    options.m_max_writes_per_second = settings.m_platform.m_writes_per_second * journal_write_share;
    return options;
}

[[nodiscard]] auto make_write_result(const platform::put_outcome& outcome) -> execution::write_result {
    return {outcome.m_code, outcome.m_written, outcome.m_current.m_modified, outcome.m_current.m_value};
}

[[nodiscard]] auto parse_shard(const std::string_view key) -> std::optional<shard_id> {
    const auto digits = key.substr(key.rfind('/') + 1);
    std::uint32_t number{};
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return parsed.ec == std::errc{} ? std::optional{shard_id{number}} : std::nullopt;
}

[[nodiscard]] auto parse_owners(const std::vector<platform::key_value>& keys) -> std::vector<execution::owner_listing> {
    std::vector<execution::owner_listing> owners{};
    for (const auto& item : keys) {
        if (const auto shard = parse_shard(item.m_key)) {
            owners.push_back({*shard, item.m_modified, item.m_value});
        }
    }
    return owners;
}

[[nodiscard]] auto decode_segments(const std::vector<platform::key_value>& keys)
    -> std::optional<std::vector<execution::stored_segment>> {
    std::vector<execution::stored_segment> segments{};
    for (const auto& item : keys) {
        auto value = execution::decode(item.m_value);
        if (!value) {
            return std::nullopt;
        }
        segments.push_back({item.m_modified, std::move(*value)});
    }
    std::ranges::sort(segments, {}, [](const auto& stored) { return stored.m_segment.m_number; });
    return segments;
}

auto send_answer(daemon& self, relay& attempt, const execution::stored_answer& answer, const bool is_replayed) -> void {
    auto head = make_envelope(self);
    auto& out = *head.mutable_answer_head();
    out.set_request(attempt.m_dispatch.request());
    out.set_attempt(attempt.m_dispatch.attempt());
    out.set_status(answer.m_status);
    auto& type = *out.add_headers();
    type.set_name("Content-Type");
    type.set_value(answer.m_content_type);
    if (is_replayed) {
        auto& replayed = *out.add_headers();
        replayed.set_name("Idempotent-Replayed");
        replayed.set_value("true");
    }
    send(self, attempt.m_entry, head);
    if (answer.m_body.empty()) {
        return;
    }
    auto part = make_envelope(self);
    auto& bytes = *part.mutable_answer_part();
    bytes.set_request(attempt.m_dispatch.request());
    bytes.set_attempt(attempt.m_dispatch.attempt());
    bytes.set_bytes(answer.m_body);
    send(self, attempt.m_entry, part);
    attempt.m_sent_parts = 1;
}

auto end_call(daemon& self, const execution::answer_call& answer) -> void {
    const auto found = self.m_calls.find(answer.m_call.value());
    ensure(found != self.m_calls.end(), "a call is answered exactly once");
    const auto attempt = found->second;
    self.m_calls.erase(found);
    attempt_end end{answer.m_code, false, answer.m_retry_after, {}, false};
    if (answer.m_code == code::ok) {
        send_answer(self, *attempt, *answer.m_answer, answer.m_is_replayed);
    } else if (answer.m_outcome == outcome::not_run) {
        end.m_not_run = record_refusal(self.m_admission, attempt->m_id, steady_now());
    }
    end_relay(self, *attempt);
    send_end(self, *attempt, end);
}

auto end_run(daemon& self, const execution::call_key& key, const net::call_end& end, net::http_response answer)
    -> void {
    execution::call_result result{};
    if (end.m_code == code::ok) {
        result.m_kind = execution::call_result::kind::answered;
        result.m_answer.m_status = answer.m_status;
        result.m_answer.m_content_type = net::find(answer.m_headers, "Content-Type");
        result.m_answer.m_body = std::move(answer.m_body);
    } else if (end.m_sent == net::sent::nothing) {
        result.m_kind = execution::call_result::kind::not_run;
    }
    execution::commands commands{};
    execution::on_result(self.m_owner, key, result, steady_now(), commands);
    execute_commands(self, commands);
}

auto start_run(daemon& self, const execution::run_call& command) -> void {
    const auto attempt = self.m_calls.at(command.m_call.value());
    const auto is_expired = attempt->m_deadline <= steady_now();
    if (is_expired || attempt->m_is_cancelled || self.m_gate.m_phase != phase::serving) {
        self.m_loop.post([&self, key = command.m_key] {
            end_run(self, key, {code::cancelled, net::sent::nothing}, {});
        });
        return;
    }
    self.m_counters.add("agent_non_idempotent_runs_total");
    self.m_http.fetch(
        self.m_backend, make_backend_request(self, *attempt), make_call_limits(*attempt),
        [&self, key = command.m_key](const auto& end, auto answer) { end_run(self, key, end, std::move(answer)); });
}

/*! @brief Returns a completion handler that runs an action and executes the commands that it emits. */
template <typename Action>
[[nodiscard]] auto make_completion(daemon& self, Action action) {
    return [&self, action](const auto&... values) {
        execution::commands commands{};
        action(commands, values...);
        execute_commands(self, commands);
    };
}

auto execute_command(daemon& self, const execution::grant_lease& command) -> void {
    self.m_platform.grant(command.m_ttl, [&self](const code value, const platform::lease_number lease) {
        execution::on_granted(self.m_owner, value, lease);
    });
}

auto execute_command(daemon& self, const execution::renew_lease& command) -> void {
    self.m_platform.keep_alive(command.m_lease,
                               [&self](const code value) { execution::on_renewed(self.m_owner, value); });
}

auto execute_command(daemon& self, const execution::revoke_lease& command) -> void {
    self.m_platform.revoke(command.m_lease, [&self](const code) { execution::on_revoked(self.m_owner); });
}

auto execute_command(daemon& self, const execution::list_owners&) -> void {
    self.m_platform.list(execution::owner_prefix(self.m_owner.m_options.m_service),
                         make_completion(self, [&self](auto& commands, const code value, const auto& keys) {
                             execution::on_owners(self.m_owner, value, parse_owners(keys), steady_now(), commands);
                         }));
}

auto execute_command(daemon& self, const execution::list_segments& command) -> void {
    self.m_platform.list(execution::segment_prefix(self.m_owner.m_options.m_service, command.m_shard),
                         make_completion(self, [&self, command](auto& commands, const code value, const auto& keys) {
                             const auto segments = decode_segments(keys);
                             const auto outcome = segments ? value : code::malformed_frame;
                             execution::on_segments(self.m_owner, command.m_shard, command.m_operation, outcome,
                                                    segments.value_or(std::vector<execution::stored_segment>{}),
                                                    steady_now(), commands);
                         }));
}

auto execute_command(daemon& self, const execution::write_key& command) -> void {
    const auto shard = command.m_shard;
    const auto operation = command.m_operation;
    self.m_platform.put(
        command.m_key, command.m_value, command.m_expected, command.m_lease,
        make_completion(self, [&self, shard, operation](auto& commands, const auto& outcome) {
            if (outcome.m_code != code::ok) {
                self.m_counters.add("agent_journal_failures_total", 1.0, describe(outcome.m_code).m_name);
            }
            execution::on_written(self.m_owner, shard, operation, make_write_result(outcome), steady_now(), commands);
        }));
}

auto execute_command(daemon& self, const execution::remove_key& command) -> void {
    const auto shard = command.m_shard;
    const auto operation = command.m_operation;
    self.m_platform.remove(command.m_key, command.m_expected,
                           make_completion(self, [&self, shard, operation](auto& commands, const auto& outcome) {
                               execution::on_written(self.m_owner, shard, operation, make_write_result(outcome),
                                                     steady_now(), commands);
                           }));
}

auto execute_command(daemon& self, const execution::run_call& command) -> void {
    start_run(self, command);
}

auto execute_command(daemon& self, const execution::answer_call& command) -> void {
    end_call(self, command);
}

auto execute_commands(daemon& self, execution::commands& commands) -> void {
    for (const auto& command : commands) {
        std::visit([&self](const auto& alternative) { execute_command(self, alternative); }, command);
    }
}

/*! @brief Returns a digest of the owned shards, used to detect changes that have to be reported immediately. */
[[nodiscard]] auto owned_shards_digest(const execution::owner& state) -> std::uint64_t {
    std::uint64_t shards_digest{};
    for (const auto& item : state.m_shards) {
        if (item.m_phase == execution::shard_phase::owned) {
            shards_digest = mix(shards_digest, mix(item.m_id.value(), item.m_token.value()));
        }
    }
    return shards_digest;
}

auto update_shard_owner(daemon& self) -> void {
    std::vector<std::string> serving{};
    for (const auto& member : self.m_members) {
        if (member.m_phase == phase::serving && !member.m_leaving) {
            serving.push_back(member.m_instance);
        }
    }
    execution::set_members(self.m_owner, std::move(serving));
    self.m_owner.m_is_suspended = self.m_gate.m_phase != phase::serving || self.m_is_stopping;
}

auto update_counters(daemon& self) -> void {
    const auto& counts = self.m_owner.m_counts;
    self.m_counters.set("agent_claims", static_cast<double>(counts.m_claims));
    self.m_counters.set("agent_journal_writes", static_cast<double>(counts.m_journal_writes));
    self.m_counters.set("agent_shard_takeovers", static_cast<double>(counts.m_takeovers));
    self.m_counters.set("agent_journal_fenced", static_cast<double>(counts.m_fenced_writes));
    self.m_counters.set("agent_segments_folded", static_cast<double>(counts.m_expired_segments));
    self.m_counters.set("agent_journal_unknown_writes", static_cast<double>(counts.m_unknown_writes));
}

} // namespace internal

auto start_journal(daemon& self) -> void {
    const auto& services = self.m_settings.m_services;
    const auto found =
        std::ranges::find(services, self.m_settings.m_backend.m_group, &config::service_settings::m_name);
    self.m_has_journal =
        self.m_settings.m_backend.m_plain_service && found != services.end() && !found->m_non_idempotent.empty();
    self.m_owner =
        execution::make_owner(internal::make_options(self.m_settings), self.m_settings.m_instance, self.m_incarnation);
    self.m_member_discovery_deadline = steady_now() + internal::member_discovery_timeout;
}

auto tick_journal(daemon& self) -> void {
    const auto now = steady_now();
    if (!self.m_has_members && now < self.m_member_discovery_deadline) {
        return;
    }
    internal::update_shard_owner(self);
    execution::commands commands{};
    execution::tick(self.m_owner, now, wall_now(), commands);
    internal::execute_commands(self, commands);
    internal::update_counters(self);
    const auto shards_digest = internal::owned_shards_digest(self.m_owner);
    if (shards_digest != self.m_reported_shards_digest) {
        self.m_reported_shards_digest = shards_digest;
        send_report(self);
    }
}

auto is_non_idempotent(const daemon& self, const wire::Dispatch& dispatch) -> bool {
    if (!self.m_has_journal) {
        return false;
    }
    const auto path = std::string_view{dispatch.target()}.substr(0, dispatch.target().find('?'));
    const auto operation = dispatch.method() + ' ' + std::string{path};
    return std::ranges::any_of(self.m_settings.m_services, [&](const auto& service) {
        return service.m_name == self.m_settings.m_backend.m_group &&
               std::ranges::find(service.m_non_idempotent, operation) != service.m_non_idempotent.end();
    });
}

auto start_claim(daemon& self, const std::shared_ptr<relay>& attempt) -> void {
    const auto& dispatch = attempt->m_dispatch;
    execution::call_request request{};
    request.m_call = execution::call_number{++self.m_last_call_number};
    request.m_key = execution::hash_idempotency_key(dispatch.organisation(), self.m_settings.m_backend.m_group,
                                                    dispatch.idempotency_key());
    request.m_content = execution::hash_content(dispatch.method(), dispatch.target(), dispatch.body());
    request.m_key_time_ms = dispatch.key_time_ms();
    self.m_calls.emplace(self.m_last_call_number, attempt);
    execution::commands commands{};
    if (!self.m_has_journal || dispatch.idempotency_key().empty()) {
        const auto reason = self.m_has_journal ? code::key_missing : code::not_owner;
        commands.emplace_back(
            execution::answer_call{request.m_call, reason, outcome::not_run, {}, std::nullopt, false});
        return internal::execute_commands(self, commands);
    }
    execution::on_call(self.m_owner, request, steady_now(), wall_now(), commands);
    internal::execute_commands(self, commands);
    if (!self.m_is_commit_scheduled) {
        self.m_is_commit_scheduled = true;
        self.m_loop.after(self.m_owner.m_options.m_group_commit_delay, [&self] {
            self.m_is_commit_scheduled = false;
            tick_journal(self);
        });
    }
}

} // namespace rhubarbwharf::agent
