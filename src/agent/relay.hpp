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

/*! @brief An attempt whose answer is relayed from the backend server to an entry. */
struct relay {
    attempt_id m_id{};
    /*! @brief Instance name of the entry. */
    std::string m_entry{};
    wire::Dispatch m_dispatch{};
    time_point m_deadline{};
    /*! @brief Confirmed version of the gate when the attempt was sent to the backend server. */
    version m_admitted_version{};
    /*! @brief Generation of the gate when the attempt was sent to the backend server. */
    std::uint64_t m_gate_generation{};
    event_scanner m_scanner{};
    /*! @brief Number of answer parts sent to the entry. */
    std::uint32_t m_sent_parts{};
    /*! @brief HTTP status of the answer; 0 until its head has arrived. */
    std::uint32_t m_http_status{};
    bool m_is_running{};
    /*! @brief Whether the head of the answer was sent to the entry. */
    bool m_has_head{};
    bool m_is_cancelled{};
    /*! @brief First error that invalidates the answer, even if the backend server completes it; `ok` for none. */
    code m_fault{code::ok};
    /*! @brief Call to the backend server; empty while none is in progress, and for non-idempotent requests. */
    std::shared_ptr<net::call> m_call{};
    bool m_is_non_idempotent{};
};

} // namespace rhubarbwharf::agent
