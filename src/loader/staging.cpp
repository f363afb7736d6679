#include <algorithm>
#include <functional>

#include <loader/daemon.hpp>
#include <loader/swap.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::loader {

namespace internal {

namespace {

/*! @brief Reads staged pieces one after the other, and hands each with its index on. */
struct staged_reader : std::enable_shared_from_this<staged_reader> {
    daemon& m_self;
    std::string m_model{};
    std::uint64_t m_version{};
    std::vector<std::size_t> m_left{};
    /*! @brief Gets the pieces that have their digests, and those that do not. */
    std::function<void(std::vector<std::size_t>, std::vector<std::size_t>)> m_done{};
    std::vector<std::size_t> m_good{};
    std::vector<std::size_t> m_bad{};

    explicit staged_reader(daemon& self) : m_self{self} {}

    auto next() -> void {
        if (m_left.empty()) {
            m_done(std::move(m_good), std::move(m_bad));
            return;
        }
        const auto piece = m_left.back();
        m_left.pop_back();
        m_self.m_core.m_http.fetch(
            m_self.m_runner, adapter::encode_stage_get(m_model, piece), local_limits(),
            [me = shared_from_this(), piece](const net::call_end&, const net::http_response& got) {
                me->on_piece(piece, got);
            });
    }

    auto on_piece(const std::size_t piece, const net::http_response& got) -> void {
        const auto* const model = find_model(m_self, m_model, m_version);
        if (model == nullptr || !model->m_manifest) {
            return;
        }
        const auto good = got.m_status == status_ok && piece < model->m_manifest->m_pieces.size() &&
                          sha256(got.m_body) == model->m_manifest->m_pieces[piece];
        (good ? m_good : m_bad).push_back(piece);
        next();
    }
};

auto read_pieces(daemon& self, const model_state& model, std::vector<std::size_t> pieces,
                 std::function<void(std::vector<std::size_t>, std::vector<std::size_t>)> done) -> void {
    auto reader = std::make_shared<staged_reader>(self);
    reader->m_model = model.m_name;
    reader->m_version = model.m_version;
    reader->m_left = std::move(pieces);
    reader->m_done = std::move(done);
    reader->next();
}

auto order_load(daemon& self, model_state& model) -> void {
    model.m_stage = stage::ordered;
    model.m_ordered = steady_now();
    self.m_report.m_busy = true;
    tell_gateways(self, true);
    self.m_core.m_events.write("load.ordered", {{"model", model.m_name},
                                                {"version", static_cast<std::int64_t>(model.m_version)},
                                                {"orders", static_cast<std::int64_t>(self.m_report.m_orders)}});
    const adapter::load_order order{model.m_name, model.m_version, self.m_report.m_orders};
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_order(order), local_limits(),
        [&self, name = model.m_name, version = model.m_version](const net::call_end&, const net::http_response& got) {
            self.m_core.m_events.write("load.answered", {{"model", name},
                                                         {"version", static_cast<std::int64_t>(version)},
                                                         {"status", static_cast<std::int64_t>(got.m_status)}});
            constexpr std::uint16_t accepted = 202U;
            auto* const current = find_model(self, name, version);
            const auto lost = got.m_status == 0U;
            if (current != nullptr && !lost && got.m_status != accepted && got.m_status != status_ok) {
                current->m_stage = stage::fetching;
            }
        });
}

} // namespace

} // namespace internal

auto claim_staged(daemon& self, model_state& model) -> void {
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_stage_get(model.m_name, std::nullopt), local_limits(),
        [&self, name = model.m_name, version = model.m_version](const net::call_end&, const net::http_response& got) {
            auto* const current = find_model(self, name, version);
            if (current == nullptr || current->m_stage != stage::settled) {
                return;
            }
            for (const auto piece : adapter::decode_staged(got.m_body)) {
                if (piece < current->m_pieces.size()) {
                    current->m_pieces[piece] = piece_state::held;
                }
            }
        });
}

auto read_staged(daemon& self, model_state& model) -> void {
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_stage_get(model.m_name, std::nullopt), local_limits(),
        [&self, name = model.m_name, version = model.m_version](const net::call_end&, const net::http_response& got) {
            auto* const current = find_model(self, name, version);
            if (current == nullptr) {
                return;
            }
            internal::read_pieces(
                self, *current, adapter::decode_staged(got.m_body),
                [&self, name, version](const std::vector<std::size_t>& good, const std::vector<std::size_t>&) {
                    auto* const model_now = find_model(self, name, version);
                    if (model_now == nullptr) {
                        return;
                    }
                    for (const auto piece : good) {
                        model_now->m_pieces[piece] = piece_state::held;
                    }
                    model_now->m_staged_read = true;
                    self.m_core.m_events.write("stage.read", {{"model", name},
                                                              {"version", static_cast<std::int64_t>(version)},
                                                              {"held", static_cast<std::int64_t>(good.size())}});
                    advance(self);
                });
        });
}

auto verify_and_order(daemon& self, model_state& model) -> void {
    model.m_stage = stage::verifying;
    std::vector<std::size_t> all(model.m_pieces.size());
    for (std::size_t index = 0U; index < all.size(); ++index) {
        all[index] = index;
    }
    internal::read_pieces(self, model, std::move(all),
                          [&self, name = model.m_name, version = model.m_version](const std::vector<std::size_t>& good,
                                                                                  const std::vector<std::size_t>& bad) {
                              auto* const current = find_model(self, name, version);
                              if (current == nullptr || current->m_stage != stage::verifying) {
                                  return;
                              }
                              if (bad.empty() && good.size() == current->m_pieces.size()) {
                                  internal::order_load(self, *current);
                                  return;
                              }
                              for (const auto piece : bad) {
                                  current->m_pieces[piece] = piece_state::missing;
                                  internal::note_spoilt(self, *current, piece, "staged");
                              }
                              current->m_stage = stage::fetching;
                          });
}

auto on_bulk(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) -> void {
    const auto name = adapter::query_value(incoming.m_target, "model");
    const auto version = adapter::query_value(incoming.m_target, "version");
    const auto found = self.m_models.find(name);
    const auto refuse = [&answer, &found, &self] {
        auto refusal = net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero());
        if (found != self.m_models.end()) {
            refusal.m_headers.push_back({std::string{internal::held_field}, std::to_string(found->second.m_held)});
        }
        answer->respond(std::move(refusal));
    };
    if (found == self.m_models.end() || std::to_string(found->second.m_version) != version) {
        refuse();
        return;
    }
    auto& model = found->second;
    const std::vector<net::header> headers{
        {std::string{internal::has_field}, internal::written(model.m_pieces)},
        {std::string{internal::held_field}, std::to_string(model.m_held)},
        {std::string{internal::loading_field}, std::string{model.m_stage == stage::ordered ? internal::yes : "no"}}};
    if (incoming.m_target.starts_with("/have")) {
        answer->respond({internal::status_ok, headers, {}});
        return;
    }
    if (incoming.m_target.starts_with("/manifest")) {
        if (model.m_manifest_text.empty()) {
            refuse();
        } else {
            answer->respond({internal::status_ok, headers, model.m_manifest_text});
        }
        return;
    }
    const auto text = adapter::query_value(incoming.m_target, "index");
    const auto piece =
        text.empty() ? model.m_pieces.size() : static_cast<std::size_t>(std::strtoull(text.c_str(), nullptr, 10));
    if (piece >= model.m_pieces.size() || model.m_pieces[piece] != piece_state::held) {
        refuse();
        return;
    }
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_stage_get(name, piece), local_limits(),
        [&self, answer, headers, piece, name, version = model.m_version](const net::call_end&, net::http_response got) {
            auto* const current = find_model(self, name, version);
            // Without a manifest the piece goes out unchecked: whoever fetches it checks it all the same.
            const auto good = got.m_status == internal::status_ok && current != nullptr &&
                              (!current->m_manifest || sha256(got.m_body) == current->m_manifest->m_pieces[piece]);
            if (good) {
                answer->respond({internal::status_ok, headers, std::move(got.m_body)});
                return;
            }
            if (current != nullptr && got.m_status == internal::status_ok && current->m_manifest) {
                current->m_pieces[piece] = piece_state::missing;
                internal::note_spoilt(self, *current, piece, "staged");
            }
            answer->respond(net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero()));
        });
}

} // namespace rhubarbwharf::loader
