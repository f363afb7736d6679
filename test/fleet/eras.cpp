#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/fleet/configuration.hpp>
#include <rhubarbwharf/fleet/server.hpp>

namespace rhubarbwharf::fleet {

namespace {

constexpr std::size_t process_count = 3U;
constexpr std::uint64_t server_count = 6U;
constexpr std::size_t max_messages = 24U;

/*! @brief Contents of a store, and its copy from which a new era begins. */
struct store_state {
    std::map<std::string, std::uint64_t> m_revisions{};
    std::uint64_t m_revision{1U};
    std::uint64_t m_configuration{1U};
};

/*! @brief What one process holds. */
struct process_state {
    server_table m_servers{};
    shared_configuration m_configuration{};
};

/*! @brief State or listing on its way to a process; may be delivered late, out of order, twice or never. */
struct message {
    std::size_t m_to{};
    process_state m_content{};
    bool m_is_listing{};
    store_version m_version{};
};

/*! @brief Two eras of a store and processes that read it and tell each other. */
class simulation {
public:
    explicit simulation(const std::uint64_t seed) : m_random{seed} {}

    auto run(const unsigned steps) -> void {
        for (unsigned step = 0U; step < steps; ++step) {
            if (step == steps / 4U) {
                m_copy = m_store;
            } else if (step == steps / 2U) {
                m_store = m_copy;
                ++m_era;
            }
            advance();
        }
    }

    /*! @brief Lets every process read the store once, with all late messages before or after it. */
    auto settle() -> void {
        m_store.m_configuration = m_written_configuration;
        for (std::size_t index = 0U; index < process_count; ++index) {
            deliver(listing(index));
        }
        while (!m_messages.empty()) {
            deliver_any();
        }
    }

    [[nodiscard]] auto processes() const noexcept -> const std::array<process_state, process_count>& {
        return m_processes;
    }

    [[nodiscard]] auto holds_what_store_lists(const process_state& process) const -> bool {
        const auto is_listed = [this](const auto& each) {
            const auto found = m_store.m_revisions.find(each.first);
            return found != m_store.m_revisions.end() &&
                   each.second.m_store_version == store_version{m_era, found->second};
        };
        return process.m_servers.m_rows.size() == m_store.m_revisions.size() &&
               std::ranges::all_of(process.m_servers.m_rows, is_listed);
    }

    [[nodiscard]] auto fallen_configurations() const noexcept -> unsigned { return m_fallen_configurations; }

    [[nodiscard]] auto written_configuration() const noexcept -> std::uint64_t { return m_written_configuration; }

private:
    [[nodiscard]] auto pick(const std::uint64_t limit) -> std::uint64_t { return m_random() % limit; }

    auto advance() -> void {
        enum : std::uint64_t { write, remove, configure, read, tell, deliver_one, restart, lose, kinds };

        const auto id = std::string(1U, static_cast<char>('a' + static_cast<char>(pick(server_count))));
        switch (pick(kinds)) {
        case write:
            m_store.m_revisions[id] = ++m_store.m_revision;
            break;
        case remove:
            m_store.m_revision += m_store.m_revisions.erase(id);
            break;
        case configure:
            m_store.m_configuration = ++m_written_configuration;
            break;
        case read:
            send(listing(pick(process_count)));
            break;
        case tell:
            send({pick(process_count), m_processes[pick(process_count)], false, {}});
            break;
        case deliver_one:
            deliver_any();
            break;
        case restart: {
            const auto index = pick(process_count);
            m_processes[index] = {};
            m_seen_configurations[index] = 0U;
            break;
        }
        default:
            if (!m_messages.empty()) {
                m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(pick(m_messages.size())));
            }
        }
    }

    [[nodiscard]] auto listing(const std::size_t to) const -> message {
        message out{to, {}, true, {m_era, m_store.m_revision}};
        configuration written{};
        written.m_version = m_store.m_configuration;
        out.m_content.m_configuration = std::make_shared<const configuration>(std::move(written));
        for (const auto& [id, revision] : m_store.m_revisions) {
            backend_server row{};
            row.m_id = id;
            row.m_store_version = {m_era, revision};
            out.m_content.m_servers.m_rows.emplace(id, std::move(row));
        }
        return out;
    }

    auto send(message value) -> void {
        if (m_messages.size() < max_messages) {
            m_messages.push_back(std::move(value));
        }
    }

    auto deliver_any() -> void {
        if (m_messages.empty()) {
            return;
        }
        const auto index = static_cast<std::ptrdiff_t>(pick(m_messages.size()));
        deliver(m_messages[static_cast<std::size_t>(index)]);
        if (pick(4U) != 0U) {
            m_messages.erase(m_messages.begin() + index);
        }
    }

    auto deliver(const message& value) -> void {
        auto& process = m_processes[value.m_to];
        const auto& rows = value.m_content.m_servers.m_rows;
        if (value.m_is_listing) {
            std::vector<backend_server> listed{};
            listed.reserve(rows.size());
            for (const auto& [id, row] : rows) {
                listed.push_back(row);
            }
            merge_listing(process.m_servers, std::move(listed), value.m_version);
        } else {
            for (const auto& [id, row] : rows) {
                merge_server(process.m_servers, row);
            }
            for (const auto& [id, version] : value.m_content.m_servers.m_removed) {
                merge_removal(process.m_servers, id, version);
            }
        }
        const auto& offered = value.m_content.m_configuration;
        if (offered && replaces(*offered, process.m_configuration)) {
            m_fallen_configurations += offered->m_version < m_seen_configurations[value.m_to] ? 1U : 0U;
            process.m_configuration = offered;
            m_seen_configurations[value.m_to] = offered->m_version;
        }
    }

    std::mt19937_64 m_random;
    store_state m_store{};
    store_state m_copy{};
    std::uint64_t m_era{1U};
    std::uint64_t m_written_configuration{1U};
    std::array<process_state, process_count> m_processes{};
    /*! @brief Newest version that each process has had in force since its start. */
    std::array<std::uint64_t, process_count> m_seen_configurations{};
    std::vector<message> m_messages{};
    unsigned m_fallen_configurations{};
};

} // namespace

TEST_CASE("processes hold the same servers after two eras, whatever was lost, late or repeated") {
    constexpr std::uint64_t runs = 5'000U;
    constexpr unsigned steps = 200U;
    for (std::uint64_t seed = 1U; seed <= runs; ++seed) {
        simulation model{seed};
        model.run(steps);
        model.settle();
        const auto& processes = model.processes();
        for (const auto& each : processes) {
            REQUIRE_MESSAGE(model.holds_what_store_lists(each), "seed ", seed);
            REQUIRE_MESSAGE(fingerprint(each.m_servers) == fingerprint(processes[0].m_servers), "seed ", seed);
            REQUIRE_MESSAGE(each.m_configuration->m_version == model.written_configuration(), "seed ", seed);
        }
        REQUIRE(model.fallen_configurations() == 0U);
    }
}

} // namespace rhubarbwharf::fleet
