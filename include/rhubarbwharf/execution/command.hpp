#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/execution/key.hpp>
#include <rhubarbwharf/execution/segment.hpp>

namespace rhubarbwharf::execution {

/*! @brief Number that the caller of `on_call` assigns to each call. */
using call_number = basic_id<struct call_tag, std::uint64_t>;
/*! @brief Number of an operation on the key-value service; its completion carries the same number. */
using operation_number = basic_id<struct operation_tag, std::uint64_t>;

/*! @brief Acquire a lease; completed by `on_granted`. */
struct grant_lease {
    duration m_ttl{};
};

/*! @brief Renew the lease; completed by `on_renewed`. */
struct renew_lease {
    std::int64_t m_lease{};
};

/*! @brief Revoke the lease, which releases all shards; completed by `on_revoked`. */
struct revoke_lease {
    std::int64_t m_lease{};
};

/*! @brief List the owner keys of all shards; completed by `on_owners`. */
struct list_owners {};

/*! @brief List the segments of a shard; completed by `on_segments`. */
struct list_segments {
    shard_id m_shard{};
    operation_number m_operation{};
};

/*! @brief Write a key by compare-and-swap; completed by `on_written`. */
struct write_key {
    shard_id m_shard{};
    operation_number m_operation{};
    std::string m_key{};
    std::string m_value{};
    /*! @brief Expected revision; 0 if the key must not exist. */
    std::uint64_t m_expected{};
    /*! @brief Lease that the key is attached to; 0 for none. */
    std::int64_t m_lease{};
};

/*! @brief Delete a key by compare-and-swap; completed by `on_written`. */
struct remove_key {
    shard_id m_shard{};
    operation_number m_operation{};
    std::string m_key{};
    std::uint64_t m_expected{};
};

/*! @brief Start a call at the backend server, immediately and exactly once; completed by `on_result`. */
struct run_call {
    shard_id m_shard{};
    call_key m_key{};
    call_number m_call{};
};

/*! @brief Report the result of a call to its caller. */
struct answer_call {
    call_number m_call{};
    code m_code{code::ok};
    /*! @brief If the code is not `ok`: `not_run` if it is certain that this call did not run and never will. */
    outcome m_outcome{outcome::unknown};
    duration m_retry_after{};
    /*! @brief The answer; set if the code is `ok`. */
    std::optional<stored_answer> m_answer{};
    /*! @brief Whether the answer is replayed from an earlier call with the same key. */
    bool m_is_replayed{};
};

/*! @brief Command that the embedding process has to execute; commands are executed in order. */
using command = std::variant<grant_lease, renew_lease, revoke_lease, list_owners, list_segments, write_key, remove_key,
                             run_call, answer_call>;
using commands = std::vector<command>;

} // namespace rhubarbwharf::execution
