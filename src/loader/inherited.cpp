#include <algorithm>
#include <utility>

#include <loader/daemon.hpp>
#include <loader/transfer.hpp>

namespace rhubarbwharf::loader {

namespace internal {

namespace {

[[nodiscard]] auto compare_staged_pieces(const model_state& model) -> staged_evidence {
    staged_evidence out{};
    out.m_piece_count = model.m_pieces.size();
    out.m_wanted_version = model.m_version;
    out.m_held_version = model.m_held_version;
    if (model.m_previous_manifest || model.m_version <= 1U) {
        out.m_previous = 0U;
    }
    const auto has_digest = [](const std::optional<adapter::manifest>& manifest, const std::size_t piece,
                               const digest& found) {
        return manifest && piece < manifest->m_digests.size() && manifest->m_digests[piece] == found;
    };
    for (std::size_t piece = 0U; piece < model.m_staged_digests.size(); ++piece) {
        const auto& found = model.m_staged_digests[piece];
        if (!found) {
            continue;
        }
        ++out.m_staged;
        const auto is_wanted = has_digest(model.m_manifest, piece, *found);
        const auto is_previous = has_digest(model.m_previous_manifest, piece, *found);
        out.m_wanted += is_wanted && !is_previous ? 1U : 0U;
        out.m_shared += is_wanted && is_previous ? 1U : 0U;
        if (is_previous && !is_wanted) {
            ++*out.m_previous;
        }
    }
    return out;
}

/*! @brief Goes back to the version before the wanted one, which the earlier process may have ordered. */
auto begin_previous_version(daemon& self, model_state& model) -> void {
    const auto next = model.m_version;
    auto manifest = std::exchange(model.m_previous_manifest, std::nullopt);
    auto text = std::move(model.m_previous_manifest_text);
    auto staged = std::move(model.m_staged_digests);
    const auto orders = model.m_open_orders;
    begin_version(self, model, next - 1U);
    model.m_phase = load_phase::fetching;
    model.m_next_version = next;
    model.m_open_orders = orders;
    model.m_manifest = std::move(manifest);
    model.m_manifest_text = std::move(text);
    model.m_manifest_request.m_requested = true;
    model.m_staged_scanned = true;
    model.m_pieces.assign(model.m_manifest->m_digests.size(), piece_state::missing);
    for (std::size_t piece = 0U; piece < std::min(staged.size(), model.m_pieces.size()); ++piece) {
        if (staged[piece] == model.m_manifest->m_digests[piece]) {
            model.m_pieces[piece] = piece_state::held;
        }
    }
}

[[nodiscard]] auto to_string(const inherited_order value) noexcept -> std::string_view {
    switch (value) {
    case inherited_order::none:
        return "none";
    case inherited_order::wanted_version:
        return "wanted";
    case inherited_order::previous_version:
        return "previous";
    case inherited_order::unknown:
        break;
    }
    return "unknown";
}

/*! @brief Logs the result of a check if it has changed. */
auto log_inherited_order(daemon& self, model_state& model, const staged_evidence& staged, const inherited_order judged)
    -> void {
    if (std::exchange(model.m_judged_order, judged) == judged) {
        return;
    }
    self.m_core.m_events.write("load.inherited",
                               {{"model", model.m_name},
                                {"version", static_cast<std::int64_t>(staged.m_wanted_version)},
                                {"held", static_cast<std::int64_t>(staged.m_held_version)},
                                {"staged", static_cast<std::int64_t>(staged.m_staged)},
                                {"wanted", static_cast<std::int64_t>(staged.m_wanted)},
                                {"previous", static_cast<std::int64_t>(staged.m_previous.value_or(0U))},
                                {"order", to_string(judged)}});
}

/*! @brief Frees what only the check of inherited orders needs. */
auto end_check(model_state& model) -> void {
    model.m_staged_digests.clear();
    model.m_previous_manifest.reset();
    model.m_previous_manifest_text.clear();
}

} // namespace

} // namespace internal

auto assume_inherited_orders(daemon& self, model_state& model) -> void {
    if (self.m_report_received) {
        inherit_orders(model.m_open_orders, self.m_report.m_started_ms, self.m_report.m_accepted_orders);
    }
}

auto check_inherited_orders(daemon& self, model_state& model) -> void {
    if (!model.m_open_orders.m_is_inherited || model.m_version == 0U) {
        return;
    }
    // While the runner holds the wanted version nothing is staged, so that the check can wait for a newer one.
    if (model.m_phase == load_phase::idle && model.m_next_version == 0U) {
        return;
    }
    if (!model.m_manifest) {
        internal::refresh_sources(self, model, steady_now());
        request_manifest(self, model, model.m_version, model.m_manifest_request);
        return;
    }
    if (!model.m_staged_scanned) {
        if (!std::exchange(model.m_staged_scan_requested, true)) {
            scan_staged_pieces(self, model);
        }
        return;
    }
    const auto staged = internal::compare_staged_pieces(model);
    const auto judged = judge_inherited_order(staged);
    internal::log_inherited_order(self, model, staged, judged);
    switch (judged) {
    case inherited_order::none:
        model.m_open_orders = {};
        internal::end_check(model);
        break;
    case inherited_order::wanted_version:
        model.m_open_orders.m_is_inherited = false;
        internal::end_check(model);
        break;
    case inherited_order::previous_version:
        model.m_open_orders.m_is_inherited = false;
        internal::begin_previous_version(self, model);
        break;
    case inherited_order::unknown:
        if (!staged.m_previous) {
            request_manifest(self, model, model.m_version - 1U, model.m_previous_manifest_request);
        }
        break;
    }
}

} // namespace rhubarbwharf::loader
