#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <agent/admission.hpp>
#include <agent/events.hpp>
#include <agent/gate.hpp>
#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::agent {

/*! @brief One attempt of which the answer is relayed from the backend server to an entry. */
struct relay {
    attempt_id m_id{};
    /*! @brief Instance name of the entry. */
    std::string m_entry{};
    wire::Dispatch m_dispatch{};
    time_point m_deadline{};
    /*! @brief Version and state of the gate that the attempt was admitted in. */
    version m_admitted_version{};
    std::uint64_t m_gate_generation{};
    event_scanner m_scanner{};
    std::uint32_t m_sent_parts{};
    std::uint32_t m_http_status{};
    bool m_is_running{};
    bool m_has_head{};
    bool m_is_cancelled{};
    /*! @brief Set where the answer must not count as whole although the backend server ends it. */
    code m_fault{code::ok};
    std::shared_ptr<net::call> m_call{};
    bool m_is_non_idempotent{};
};

} // namespace rhubarbwharf::agent
