#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include <rhubarbwharf/core/digest.hpp>

#include <loader/daemon.hpp>

namespace rhubarbwharf::loader::internal {

/*! @brief Result of reading staged pieces back. */
struct staged_pieces {
    std::vector<std::size_t> m_valid{};
    std::vector<std::size_t> m_corrupt{};
    /*! @brief Digests of the pieces that were read, by index. */
    std::vector<std::optional<digest>> m_digests{};
    /*! @brief Whether a read was not answered; no further reads were started then. */
    bool m_interrupted{false};
};

/**
 * @brief Reads staged pieces back, several at once if the runner is slow, and records what each read shows as evidence.
 * @param self The loader.
 * @param model Model to which the pieces belong.
 * @param pieces Indices of the pieces; the last one is read first.
 * @param digest_count Number of pieces whose digests are returned; 0 if only the comparison is of use.
 * @param on_done Called at the end; not called if another version is wanted by then.
 */
auto read_back_pieces(daemon& self, const model_state& model, std::vector<std::size_t> pieces, std::size_t digest_count,
                      std::function<void(const staged_pieces&)> on_done) -> void;

} // namespace rhubarbwharf::loader::internal
