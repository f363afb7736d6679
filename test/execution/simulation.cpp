#include <execution/simulation.hpp>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace rhubarbwharf::test {

using namespace execution;

namespace {

constexpr std::size_t processes = 3;
constexpr std::size_t keys = 24;
constexpr std::size_t percent = 100;
constexpr std::chrono::milliseconds retention = std::chrono::minutes{20};

[[nodiscard]] auto world_options() -> options {
    options chosen{};
    chosen.m_service = "ledger";
    chosen.m_shards = 2;
    chosen.m_retention = retention;
    chosen.m_segment_bytes = 600;
    chosen.m_answer_bytes = 64;
    return chosen;
}

[[nodiscard]] auto key_of(const std::size_t index, const std::uint64_t made) -> call_key {
    return name_key("kitchen", "ledger", std::to_string(index) + '@' + std::to_string(made));
}

[[nodiscard]] auto instance_of(const std::size_t index) -> std::string {
    return "ledger-" + std::to_string(index);
}

} // namespace

simulation::simulation(const std::uint64_t seed, const fault chosen) : m_random{seed}, m_fault{chosen} {
    m_processes.resize(processes);
    m_key_times.assign(keys, static_cast<std::uint64_t>(wall().time_since_epoch().count()));
    for (std::size_t index = 0; index < processes; ++index) {
        start(index);
    }
}

auto simulation::draw(const std::size_t limit) -> std::size_t {
    return static_cast<std::size_t>(m_random() % limit);
}

auto simulation::wall() const -> wall_time {
    return wall_time{m_wall_offset + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())};
}

auto simulation::start(const std::size_t index) -> void {
    auto& item = m_processes[index];
    m_counts.m_takeovers += item.m_owner.m_counts.m_takeovers;
    m_counts.m_fenced += item.m_owner.m_counts.m_fenced;
    m_counts.m_expired += item.m_owner.m_counts.m_folded;
    for (auto& under_way : m_operations) {
        under_way.m_is_orphaned = under_way.m_is_orphaned || under_way.m_process == index;
    }
    item = process{};
    item.m_incarnation = ++m_last_incarnation;
    item.m_owner = make_owner(world_options(), instance_of(index), item.m_incarnation);
    std::vector<std::string> members{};
    for (std::size_t other = 0; other < processes; ++other) {
        members.push_back(instance_of(other));
    }
    set_members(item.m_owner, std::move(members));
}

auto simulation::run_or_queue(const std::size_t index, const std::function<void(owner&, commands&)>& action) -> void {
    auto& item = m_processes[index];
    const auto handle = [this, index, action] {
        commands orders{};
        action(m_processes[index].m_owner, orders);
        send_commands(index, orders);
    };
    if (item.m_is_paused) {
        item.m_inbox.emplace_back(handle);
        return;
    }
    handle();
}

auto simulation::send_commands(const std::size_t index, commands& orders) -> void {
    for (auto& order : orders) {
        if (const auto* const answer = std::get_if<answer_call>(&order)) {
            record_answer(*answer);
            continue;
        }
        pending_operation item{};
        item.m_process = index;
        item.m_incarnation = m_processes[index].m_incarnation;
        item.m_command = std::move(order);
        if (draw(percent) < 2) {
            item.m_not_before = m_now + std::chrono::milliseconds{draw(40'000)};
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
    const auto index = draw(keys);
    const auto is_renewed = draw(percent) < 3;
    if (is_renewed) {
        m_key_times[index] = static_cast<std::uint64_t>(wall().time_since_epoch().count());
    }
    call_request request{};
    request.m_call = call_number{++m_last_call};
    request.m_key = key_of(index, m_key_times[index]);
    request.m_content = name_content("POST", "/payments", std::to_string(draw(percent) == 0 ? 1 : 0));
    request.m_key_time_ms = m_key_times[index];
    m_call_records[request.m_call.value()].m_key = request.m_key;
    ++m_counts.m_calls;
    auto chosen = draw(processes);
    for (std::size_t index_of = 0; index_of < processes && draw(percent) < 80; ++index_of) {
        const auto shard = shard_of(request.m_key, world_options().m_shards).value();
        chosen = m_processes[index_of].m_owner.m_shards[shard].m_phase == shard_phase::owned ? index_of : chosen;
    }
    run_or_queue(chosen, [this, request](auto& table, auto& out) { on_call(table, request, m_now, wall(), out); });
}

auto simulation::execute(const run_call& order) -> void {
    ++m_runs[order.m_key];
    ++m_call_records.at(order.m_call.value()).m_runs;
    m_bodies[order.m_key] = "answer to " + std::to_string(order.m_call.value());
    ++m_counts.m_runs;
}

auto simulation::apply_write(pending_operation& item, const write_key& order) -> void {
    auto& place = m_store.m_values[order.m_key];
    const auto has_lease = order.m_lease == 0 || m_store.m_leases.contains(order.m_lease);
    const auto is_equal = place.m_revision == order.m_expected || m_fault == fault::ignore_compare;
    if (is_equal && has_lease) {
        place = {order.m_value, ++m_store.m_revision, order.m_lease};
        item.m_result = {code::ok, outcome::not_run, place.m_revision, {}};
        return;
    }
    item.m_result = {code::compare_failed, outcome::not_run, place.m_revision, place.m_bytes};
    if (place.m_revision == 0) {
        m_store.m_values.erase(order.m_key);
    }
}

auto simulation::apply_remove(pending_operation& item, const remove_key& order) -> void {
    const auto found = m_store.m_values.find(order.m_key);
    const auto stands = found == m_store.m_values.end() ? 0 : found->second.m_revision;
    item.m_result = {stands == order.m_expected ? code::ok : code::compare_failed, outcome::not_run, stands, {}};
    if (stands != 0 && stands == order.m_expected) {
        m_store.m_values.erase(found);
    }
}

auto simulation::apply(pending_operation& item) -> void {
    item.m_is_applied = true;
    std::visit(
        [&](const auto& order) {
            using order_type = std::decay_t<decltype(order)>;
            if constexpr (std::is_same_v<order_type, grant_lease>) {
                item.m_lease = ++m_store.m_last_lease;
                m_store.m_leases[item.m_lease] = m_now + order.m_ttl;
            } else if constexpr (std::is_same_v<order_type, renew_lease>) {
                const auto found = m_store.m_leases.find(order.m_lease);
                item.m_result.m_code = found == m_store.m_leases.end() ? code::lease_lost : code::ok;
                if (found != m_store.m_leases.end()) {
                    found->second = m_now + world_options().m_lease;
                }
            } else if constexpr (std::is_same_v<order_type, revoke_lease>) {
                m_store.m_leases.erase(order.m_lease);
                expire();
            } else if constexpr (std::is_same_v<order_type, list_owners>) {
                for (std::uint32_t index = 0; index < world_options().m_shards; ++index) {
                    const auto found = m_store.m_values.find(owner_key("ledger", shard_id{index}));
                    if (found != m_store.m_values.end()) {
                        item.m_owners.push_back({shard_id{index}, found->second.m_revision, found->second.m_bytes});
                    }
                }
            } else if constexpr (std::is_same_v<order_type, list_segments>) {
                const auto prefix = segment_prefix("ledger", order.m_shard);
                for (const auto& [key, value] : m_store.m_values) {
                    if (key.starts_with(prefix)) {
                        item.m_segments.push_back({value.m_revision, decode(value.m_bytes).value()});
                    }
                }
            } else if constexpr (std::is_same_v<order_type, write_key>) {
                apply_write(item, order);
            } else if constexpr (std::is_same_v<order_type, remove_key>) {
                apply_remove(item, order);
            } else if constexpr (std::is_same_v<order_type, run_call>) {
                execute(order);
            }
        },
        item.m_command);
}

auto simulation::deliver(const pending_operation& item, const bool is_lost) -> void {
    const auto index = item.m_process;
    const auto lost = is_lost ? code::platform_unavailable : item.m_result.m_code;
    const auto never = is_lost && !item.m_is_applied && item.m_is_orphaned;
    run_or_queue(index, [this, item, lost, is_lost, never](auto& table, auto& out) {
        const auto& order = item.m_command;
        if (std::holds_alternative<grant_lease>(order)) {
            on_granted(table, lost, item.m_lease);
        } else if (std::holds_alternative<renew_lease>(order)) {
            on_renewed(table, lost);
        } else if (std::holds_alternative<revoke_lease>(order)) {
            on_revoked(table);
        } else if (std::holds_alternative<list_owners>(order)) {
            on_owners(table, lost, item.m_owners, m_now, out);
        } else if (const auto* const list = std::get_if<list_segments>(&order)) {
            on_segments(table, list->m_shard, list->m_operation, lost, item.m_segments, m_now, out);
        } else if (const auto* const run = std::get_if<run_call>(&order)) {
            call_result result{};
            result.m_kind = never     ? call_result::kind::not_run
                            : is_lost ? call_result::kind::unknown
                                      : call_result::kind::answered;
            result.m_answer = {200, "text/plain", m_bodies[run->m_key], false};
            on_result(table, run->m_key, result, m_now, out);
        } else {
            auto result = item.m_result;
            result.m_code = lost;
            result.m_written = never ? outcome::not_run : outcome::unknown;
            const auto* const write = std::get_if<write_key>(&order);
            const auto* const remove = std::get_if<remove_key>(&order);
            on_written(table, write != nullptr ? write->m_shard : remove->m_shard,
                       write != nullptr ? write->m_operation : remove->m_operation, result, m_now, out);
        }
    });
}

auto simulation::advance_operation() -> void {
    if (m_operations.empty()) {
        return;
    }
    const auto place = draw(m_operations.size());
    auto item = m_operations[place];
    if (item.m_not_before > m_now && !m_is_draining) {
        return;
    }
    const auto drop_it = [&] {
        m_operations.erase(m_operations.begin() + static_cast<std::ptrdiff_t>(place));
    };
    const auto is_gone = m_processes[item.m_process].m_incarnation != item.m_incarnation;
    const auto is_call = std::holds_alternative<run_call>(item.m_command);
    const auto chance = draw(percent);
    if (item.m_is_orphaned || is_gone) {
        if (chance < 40 && !item.m_is_applied && (is_call || !m_is_store_down)) {
            apply(item);
        }
        drop_it();
        return;
    }
    if (!item.m_is_applied && (is_call || !m_is_store_down) && chance < 97) {
        apply(m_operations[place]);
        return;
    }
    if (item.m_is_applied && chance < 97) {
        drop_it();
        deliver(item, false);
        if (chance < 3 && !is_call) {
            item.m_is_orphaned = true;
            item.m_is_applied = false;
            m_operations.push_back(item);
        }
        return;
    }
    ++m_counts.m_lost;
    const auto is_never = !item.m_is_applied && draw(2) == 0;
    drop_it();
    if (m_fault == fault::deny_run && is_call) {
        item.m_is_orphaned = true;
        const auto was_applied = std::exchange(item.m_is_applied, false);
        deliver(item, true);
        item.m_is_applied = was_applied;
        m_operations.push_back(item);
        return;
    }
    if (is_never) {
        item.m_is_orphaned = true;
        return deliver(item, true);
    }
    deliver(item, true);
    item.m_is_orphaned = true;
    m_operations.push_back(std::move(item));
}

auto simulation::expire() -> void {
    std::erase_if(m_store.m_leases, [&](const auto& lease) { return lease.second <= m_now; });
    std::erase_if(m_store.m_values, [&](const auto& item) {
        return item.second.m_lease != 0 && !m_store.m_leases.contains(item.second.m_lease);
    });
}

auto simulation::advance_time() -> void {
    const auto chance = draw(1000);
    const auto step = chance < 1 ? 600'000U : chance < 5 ? 8'000U : chance < 50 ? 300U : 3U;
    m_now += std::chrono::milliseconds{draw(step) + 1};
    expire();
}

auto simulation::inject_fault() -> void {
    const auto index = draw(processes);
    auto& item = m_processes[index];
    const auto chance = draw(percent);
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
        for (std::size_t each = 0; each < processes; ++each) {
            start(each);
        }
    } else if (chance < 77) {
        give_back(item.m_owner);
    } else if (chance < 92) {
        m_store.m_leases.erase(item.m_owner.m_lease);
        expire();
    } else {
        m_is_store_down = !m_is_store_down && draw(2) == 0;
    }
}

auto simulation::step() -> void {
    const auto chance = draw(percent);
    if (chance < 20) {
        advance_time();
    } else if (chance < 45) {
        const auto index = draw(processes);
        if (!m_processes[index].m_is_paused) {
            run_or_queue(index, [this](auto& table, auto& out) { tick(table, m_now, wall(), out); });
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
            return "a key ran " + std::to_string(runs) + " times";
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
            return "call " + std::to_string(call) + " was answered, but not by its key's one run";
        }
        if (record.m_code != code::ok && record.m_outcome == outcome::not_run && record.m_runs > 0) {
            return "call " + std::to_string(call) + " was refused as not run, but ran";
        }
    }
    return {};
}

auto simulation::counts() const -> run_counts {
    auto sum = m_counts;
    for (const auto& item : m_processes) {
        sum.m_takeovers += item.m_owner.m_counts.m_takeovers;
        sum.m_fenced += item.m_owner.m_counts.m_fenced;
        sum.m_expired += item.m_owner.m_counts.m_folded;
    }
    return sum;
}

} // namespace rhubarbwharf::test
