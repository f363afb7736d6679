#include <execution/simulation.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace rhubarbwharf::test {

using namespace execution;

namespace {

constexpr std::size_t process_count = 3;
constexpr std::size_t key_count = 24;
constexpr std::size_t full_percent = 100;
constexpr std::chrono::milliseconds retention = std::chrono::minutes{20};

[[nodiscard]] auto simulation_options() -> options {
    options settings{};
    settings.m_service = "ledger";
    settings.m_shard_count = 2;
    settings.m_retention = retention;
    settings.m_max_segment_bytes = 600;
    settings.m_max_answer_bytes = 64;
    return settings;
}

[[nodiscard]] auto key_of(const std::size_t index, const std::uint64_t key_time_ms) -> call_key {
    return hash_idempotency_key("kitchen", "ledger", std::to_string(index) + '@' + std::to_string(key_time_ms));
}

[[nodiscard]] auto instance_of(const std::size_t index) -> std::string {
    return "ledger-" + std::to_string(index);
}

} // namespace

simulation::simulation(const std::uint64_t seed, const fault chosen) : m_random{seed}, m_fault{chosen} {
    m_processes.resize(process_count);
    m_key_times_ms.assign(key_count, static_cast<std::uint64_t>(wall().time_since_epoch().count()));
    for (std::size_t index = 0; index < process_count; ++index) {
        start(index);
    }
}

auto simulation::random_below(const std::size_t limit) -> std::size_t {
    return static_cast<std::size_t>(m_random() % limit);
}

auto simulation::wall() const -> wall_time {
    return wall_time{m_wall_offset + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())};
}

auto simulation::start(const std::size_t index) -> void {
    auto& item = m_processes[index];
    m_counts.m_takeovers += item.m_owner.m_counts.m_takeovers;
    m_counts.m_fenced += item.m_owner.m_counts.m_fenced_writes;
    m_counts.m_expired += item.m_owner.m_counts.m_expired_segments;
    for (auto& operation : m_operations) {
        operation.m_is_orphaned = operation.m_is_orphaned || operation.m_process == index;
    }
    item = process{};
    item.m_incarnation = ++m_last_incarnation;
    item.m_owner = make_owner(simulation_options(), instance_of(index), item.m_incarnation);
    std::vector<std::string> members{};
    for (std::size_t other = 0; other < process_count; ++other) {
        members.push_back(instance_of(other));
    }
    set_members(item.m_owner, std::move(members));
}

auto simulation::run_or_queue(const std::size_t index, const std::function<void(owner&, commands&)>& action) -> void {
    auto& item = m_processes[index];
    const auto handle = [this, index, action] {
        commands issued{};
        action(m_processes[index].m_owner, issued);
        send_commands(index, issued);
    };
    if (item.m_is_paused) {
        item.m_inbox.emplace_back(handle);
        return;
    }
    handle();
}

auto simulation::send_commands(const std::size_t index, commands& issued) -> void {
    for (auto& request : issued) {
        if (const auto* const answer = std::get_if<answer_call>(&request)) {
            record_answer(*answer);
            continue;
        }
        pending_operation item{};
        item.m_process = index;
        item.m_incarnation = m_processes[index].m_incarnation;
        item.m_command = std::move(request);
        if (random_below(full_percent) < 2) {
            item.m_not_before = m_now + std::chrono::milliseconds{random_below(40'000)};
        }
        m_operations.push_back(std::move(item));
    }
}

auto simulation::record_answer(const answer_call& answer) -> void {
    auto& record = m_call_records.at(answer.m_call.value());
    ++record.m_answers;
    record.m_code = answer.m_code;
    record.m_outcome = answer.m_outcome;
    record.m_body = answer.m_answer ? answer.m_answer->m_body : std::string{};
    m_counts.m_answered += answer.m_code == code::ok ? 1U : 0U;
    m_counts.m_not_run += answer.m_code != code::ok && answer.m_outcome == outcome::not_run ? 1U : 0U;
    m_counts.m_unknown += answer.m_code != code::ok && answer.m_outcome == outcome::unknown ? 1U : 0U;
}

auto simulation::submit_call() -> void {
    const auto index = random_below(key_count);
    const auto is_renewed = random_below(full_percent) < 3;
    if (is_renewed) {
        m_key_times_ms[index] = static_cast<std::uint64_t>(wall().time_since_epoch().count());
    }
    call_request request{};
    request.m_call = call_number{++m_last_call};
    request.m_key = key_of(index, m_key_times_ms[index]);
    request.m_content = hash_content("POST", "/payments", std::to_string(random_below(full_percent) == 0 ? 1 : 0));
    request.m_key_time_ms = m_key_times_ms[index];
    m_call_records[request.m_call.value()].m_key = request.m_key;
    ++m_counts.m_calls;
    auto chosen = random_below(process_count);
    for (std::size_t owner_index = 0; owner_index < process_count && random_below(full_percent) < 80; ++owner_index) {
        const auto shard = shard_of(request.m_key, simulation_options().m_shard_count).value();
        chosen = m_processes[owner_index].m_owner.m_shards[shard].m_phase == shard_phase::owned ? owner_index : chosen;
    }
    run_or_queue(chosen, [this, request](auto& state, auto& out) { on_call(state, request, m_now, wall(), out); });
}

auto simulation::execute(const run_call& request) -> void {
    ++m_runs[request.m_key];
    ++m_call_records.at(request.m_call.value()).m_runs;
    m_bodies[request.m_key] = "answer to " + std::to_string(request.m_call.value());
    ++m_counts.m_runs;
}

auto simulation::apply_write(pending_operation& item, const write_key& request) -> void {
    auto& stored = m_store.m_values[request.m_key];
    const auto has_lease = request.m_lease == 0 || m_store.m_leases.contains(request.m_lease);
    const auto is_equal = stored.m_revision == request.m_expected || m_fault == fault::ignore_compare;
    if (is_equal && has_lease) {
        stored = {request.m_value, ++m_store.m_revision, request.m_lease};
        item.m_result = {code::ok, outcome::not_run, stored.m_revision, {}};
        return;
    }
    item.m_result = {code::compare_failed, outcome::not_run, stored.m_revision, stored.m_bytes};
    if (stored.m_revision == 0) {
        m_store.m_values.erase(request.m_key);
    }
}

auto simulation::apply_remove(pending_operation& item, const remove_key& request) -> void {
    const auto found = m_store.m_values.find(request.m_key);
    const auto revision = found == m_store.m_values.end() ? 0 : found->second.m_revision;
    item.m_result = {revision == request.m_expected ? code::ok : code::compare_failed, outcome::not_run, revision, {}};
    if (revision != 0 && revision == request.m_expected) {
        m_store.m_values.erase(found);
    }
}

auto simulation::apply(pending_operation& item) -> void {
    item.m_is_applied = true;
    std::visit(
        [&](const auto& request) {
            using command_type = std::decay_t<decltype(request)>;
            if constexpr (std::is_same_v<command_type, grant_lease>) {
                item.m_lease = ++m_store.m_last_lease;
                m_store.m_leases[item.m_lease] = m_now + request.m_ttl;
            } else if constexpr (std::is_same_v<command_type, renew_lease>) {
                const auto found = m_store.m_leases.find(request.m_lease);
                item.m_result.m_code = found == m_store.m_leases.end() ? code::lease_lost : code::ok;
                if (found != m_store.m_leases.end()) {
                    found->second = m_now + simulation_options().m_lease_ttl;
                }
            } else if constexpr (std::is_same_v<command_type, revoke_lease>) {
                m_store.m_leases.erase(request.m_lease);
                expire_leases();
            } else if constexpr (std::is_same_v<command_type, list_owners>) {
                for (std::uint32_t index = 0; index < simulation_options().m_shard_count; ++index) {
                    const auto found = m_store.m_values.find(owner_key("ledger", shard_id{index}));
                    if (found != m_store.m_values.end()) {
                        item.m_owners.push_back({shard_id{index}, found->second.m_revision, found->second.m_bytes});
                    }
                }
            } else if constexpr (std::is_same_v<command_type, list_segments>) {
                const auto prefix = segment_prefix("ledger", request.m_shard);
                for (const auto& [key, value] : m_store.m_values) {
                    if (key.starts_with(prefix)) {
                        item.m_segments.push_back({value.m_revision, decode(value.m_bytes).value()});
                    }
                }
            } else if constexpr (std::is_same_v<command_type, write_key>) {
                apply_write(item, request);
            } else if constexpr (std::is_same_v<command_type, remove_key>) {
                apply_remove(item, request);
            } else if constexpr (std::is_same_v<command_type, run_call>) {
                execute(request);
            }
        },
        item.m_command);
}

auto simulation::deliver(const pending_operation& item, const bool is_lost) -> void {
    const auto index = item.m_process;
    const auto value = is_lost ? code::platform_unavailable : item.m_result.m_code;
    const auto is_never_applied = is_lost && !item.m_is_applied && item.m_is_orphaned;
    run_or_queue(index, [this, item, value, is_lost, is_never_applied](auto& state, auto& out) {
        const auto& request = item.m_command;
        if (std::holds_alternative<grant_lease>(request)) {
            on_granted(state, value, item.m_lease);
        } else if (std::holds_alternative<renew_lease>(request)) {
            on_renewed(state, value);
        } else if (std::holds_alternative<revoke_lease>(request)) {
            on_revoked(state);
        } else if (std::holds_alternative<list_owners>(request)) {
            on_owners(state, value, item.m_owners, m_now, out);
        } else if (const auto* const list = std::get_if<list_segments>(&request)) {
            on_segments(state, list->m_shard, list->m_operation, value, item.m_segments, m_now, out);
        } else if (const auto* const run = std::get_if<run_call>(&request)) {
            call_result result{};
            result.m_kind = is_never_applied ? call_result::kind::not_run
                            : is_lost        ? call_result::kind::unknown
                                             : call_result::kind::answered;
            result.m_answer = {200, "text/plain", m_bodies[run->m_key], false};
            on_result(state, run->m_key, result, m_now, out);
        } else {
            auto result = item.m_result;
            result.m_code = value;
            result.m_written = is_never_applied ? outcome::not_run : outcome::unknown;
            const auto* const write = std::get_if<write_key>(&request);
            const auto* const remove = std::get_if<remove_key>(&request);
            on_written(state, write != nullptr ? write->m_shard : remove->m_shard,
                       write != nullptr ? write->m_operation : remove->m_operation, result, m_now, out);
        }
    });
}

auto simulation::advance_operation() -> void {
    if (m_operations.empty()) {
        return;
    }
    const auto position = random_below(m_operations.size());
    auto item = m_operations[position];
    if (item.m_not_before > m_now && !m_is_draining) {
        return;
    }
    const auto erase_operation = [&] {
        m_operations.erase(m_operations.begin() + static_cast<std::ptrdiff_t>(position));
    };
    const auto is_sender_stopped = m_processes[item.m_process].m_incarnation != item.m_incarnation;
    const auto is_call = std::holds_alternative<run_call>(item.m_command);
    const auto chance = random_below(full_percent);
    if (item.m_is_orphaned || is_sender_stopped) {
        if (chance < 40 && !item.m_is_applied && (is_call || !m_is_store_down)) {
            apply(item);
        }
        erase_operation();
        return;
    }
    if (!item.m_is_applied && (is_call || !m_is_store_down) && chance < 97) {
        apply(m_operations[position]);
        return;
    }
    if (item.m_is_applied && chance < 97) {
        erase_operation();
        deliver(item, false);
        if (chance < 3 && !is_call) {
            item.m_is_orphaned = true;
            item.m_is_applied = false;
            m_operations.push_back(item);
        }
        return;
    }
    ++m_counts.m_lost;
    const auto is_dropped = !item.m_is_applied && random_below(2) == 0;
    erase_operation();
    if (m_fault == fault::deny_run && is_call) {
        item.m_is_orphaned = true;
        const auto was_applied = std::exchange(item.m_is_applied, false);
        deliver(item, true);
        item.m_is_applied = was_applied;
        m_operations.push_back(item);
        return;
    }
    if (is_dropped) {
        item.m_is_orphaned = true;
        return deliver(item, true);
    }
    deliver(item, true);
    item.m_is_orphaned = true;
    m_operations.push_back(std::move(item));
}

auto simulation::expire_leases() -> void {
    std::erase_if(m_store.m_leases, [&](const auto& lease) { return lease.second <= m_now; });
    std::erase_if(m_store.m_values, [&](const auto& item) {
        return item.second.m_lease != 0 && !m_store.m_leases.contains(item.second.m_lease);
    });
}

auto simulation::advance_time() -> void {
    const auto chance = random_below(1000);
    const auto step = chance < 1 ? 600'000U : chance < 5 ? 8'000U : chance < 50 ? 300U : 3U;
    m_now += std::chrono::milliseconds{random_below(step) + 1};
    expire_leases();
}

auto simulation::inject_fault() -> void {
    const auto index = random_below(process_count);
    auto& item = m_processes[index];
    const auto chance = random_below(full_percent);
    if (chance < 25) {
        item.m_is_paused = true;
    } else if (chance < 70) {
        item.m_is_paused = false;
        const auto inbox = std::exchange(item.m_inbox, {});
        for (const auto& handle : inbox) {
            handle();
        }
    } else if (chance < 75) {
        start(index);
    } else if (chance < 76) {
        for (std::size_t each = 0; each < process_count; ++each) {
            start(each);
        }
    } else if (chance < 77) {
        release_all(item.m_owner);
    } else if (chance < 92) {
        m_store.m_leases.erase(item.m_owner.m_lease);
        expire_leases();
    } else {
        m_is_store_down = !m_is_store_down && random_below(2) == 0;
    }
}

auto simulation::step() -> void {
    const auto chance = random_below(full_percent);
    if (chance < 20) {
        advance_time();
    } else if (chance < 45) {
        const auto index = random_below(process_count);
        if (!m_processes[index].m_is_paused) {
            run_or_queue(index, [this](auto& state, auto& out) { tick(state, m_now, wall(), out); });
        }
    } else if (chance < 55) {
        submit_call();
    } else if (chance < 99) {
        advance_operation();
    } else {
        inject_fault();
    }
}

auto simulation::run(const std::size_t steps) -> void {
    for (std::size_t index = 0; index < steps; ++index) {
        step();
        ++m_counts.m_steps;
    }
    m_is_store_down = false;
    m_is_draining = true;
    while (!m_operations.empty()) {
        advance_operation();
    }
}

auto simulation::violation() const -> std::string {
    for (const auto& [key, runs] : m_runs) {
        if (runs > 1) {
            return "a key was run " + std::to_string(runs) + " times";
        }
    }
    for (const auto& [call, record] : m_call_records) {
        const auto found = m_runs.find(record.m_key);
        const auto runs = found == m_runs.end() ? 0U : found->second;
        if (record.m_answers > 1) {
            return "call " + std::to_string(call) + " was answered twice";
        }
        if (record.m_answers == 0) {
            continue;
        }
        if (record.m_code == code::ok && (runs != 1 || record.m_body != m_bodies.at(record.m_key))) {
            return "call " + std::to_string(call) + " was answered, but not with the result of the only run of its key";
        }
        if (record.m_code != code::ok && record.m_outcome == outcome::not_run && record.m_runs > 0) {
            return "call " + std::to_string(call) + " was reported as not run, but ran";
        }
    }
    return {};
}

auto simulation::counts() const -> run_counts {
    auto sum = m_counts;
    for (const auto& item : m_processes) {
        sum.m_takeovers += item.m_owner.m_counts.m_takeovers;
        sum.m_fenced += item.m_owner.m_counts.m_fenced_writes;
        sum.m_expired += item.m_owner.m_counts.m_expired_segments;
    }
    return sum;
}

} // namespace rhubarbwharf::test
