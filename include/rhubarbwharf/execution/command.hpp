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

/*! @brief Number that the shell gives to each call it brings in. */
using call_number = basic_id<struct call_tag, std::uint64_t>;
/*! @brief Number of one operation on the key-value service; its completion names it again. */
using operation_number = basic_id<struct operation_tag, std::uint64_t>;

/*! @brief Take a lease; `on_granted` completes it. */
struct grant_lease {
    duration m_ttl{};
};

/*! @brief Renew the lease; `on_renewed` completes it. */
struct renew_lease {
    std::int64_t m_lease{};
};

/*! @brief Give the lease back, and with it all shards; `on_revoked` completes it. */
struct revoke_lease {
    std::int64_t m_lease{};
};

/*! @brief List the owners' keys; `on_owners` completes it. */
struct list_owners {};

/*! @brief List the segments of a shard; `on_segments` completes it. */
struct list_segments {
    shard_id m_shard{};
    operation_number m_operation{};
};

/*! @brief Write a key by compare-and-swap; `on_written` completes it. */
struct write_key {
    shard_id m_shard{};
    operation_number m_operation{};
    std::string m_key{};
    std::string m_value{};
    std::uint64_t m_expected{};
    std::int64_t m_lease{};
};

/*! @brief Delete a key by compare-and-swap; `on_written` completes it. */
struct remove_key {
    shard_id m_shard{};
    operation_number m_operation{};
    std::string m_key{};
    std::uint64_t m_expected{};
};

/*! @brief Start a call at the backend server, now and once; `on_result` completes it. */
struct run_call {
    shard_id m_shard{};
    call_key m_key{};
    call_number m_call{};
};

/*! @brief Tell a caller how its call ended. */
struct answer_call {
    call_number m_call{};
    code m_code{code::ok};
    /*! @brief With a code that is not `ok`: whether this call surely did not run and never will. */
    outcome m_outcome{outcome::unknown};
    duration m_retry_after{};
    /*! @brief With `ok`: the answer. */
    std::optional<kept_answer> m_answer{};
    /*! @brief Whether the answer is that of an earlier call with the same key. */
    bool m_is_repeat{};
};

/*! @brief What a decision orders the shell to do, in this order. */
using command = std::variant<grant_lease, renew_lease, revoke_lease, list_owners, list_segments, write_key, remove_key,
                             run_call, answer_call>;
using commands = std::vector<command>;

} // namespace rhubarbwharf::execution
