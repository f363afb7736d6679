#include <algorithm>
#include <deque>
#include <list>

#include <openssl/evp.h>

#include <rhubarbwharf/core/digest.hpp>

#include "standin.hpp"
#include "tokens.hpp"

namespace rhubarbwharf::standin {

namespace internal {

struct fencing_number {
    std::int64_t m_ticket{};
    std::int64_t m_epoch{};
};

[[nodiscard]] auto is_older(const fencing_number& left, const fencing_number& right) -> bool {
    return std::pair{left.m_ticket, left.m_epoch} < std::pair{right.m_ticket, right.m_epoch};
}

/*! @brief What is loaded; the digest is that of the bytes that were read. */
struct loaded_version {
    std::string m_model{};
    std::string m_manifest{};
    std::string m_content{};
    std::string m_adapter{};
    std::string m_role{};
};

/*! @brief One request, waiting or in the batch. */
struct generation {
    std::string m_prompt{};
    std::string m_model{};
    std::string m_text{};
    std::uint64_t m_id{};
    std::uint64_t m_next{};
    std::uint64_t m_end{};
    std::uint32_t m_priority{};
    duration m_prefill_left{};
    time_point m_deadline{time_point::max()};
    bool m_chat{};
    bool m_stream{};
    bool m_gone{};
    std::shared_ptr<net::responder> m_answer{};
};

struct engine {
    engine(net::loop& owner, net::http_client& http, options set, std::shared_ptr<faults> table)
        : m_owner{owner}, m_http{http}, m_set{std::move(set)}, m_faults{std::move(table)} {}

    net::loop& m_owner;
    net::http_client& m_http;
    options m_set;
    std::shared_ptr<faults> m_faults;
    loaded_version m_loaded{};
    fencing_number m_fencing{};
    std::deque<std::shared_ptr<generation>> m_waiting{};
    std::vector<std::shared_ptr<generation>> m_running{};
    std::list<std::uint64_t> m_prefixes{};
    boost::json::array m_reported{};
    time_point m_reported_at{};
    std::uint64_t m_last_id{};
    std::uint64_t m_crashes{};
    std::uint64_t m_loads{};
    bool m_loading{};
    bool m_stepping{};
};

using engine_ptr = std::shared_ptr<engine>;

[[nodiscard]] auto refuse(const std::uint16_t status, const std::string_view message) -> net::http_response {
    return json_response(status, boost::json::object{{"error", {{"message", message}}}});
}

[[nodiscard]] auto fingerprint(const engine& self) -> std::string {
    return self.m_loaded.m_content.substr(0, fingerprint_digits);
}

[[nodiscard]] auto cached_prefixes(engine& self, const time_point now) -> boost::json::array {
    constexpr auto gap = 5U;
    if (now - self.m_reported_at < self.m_set.m_lag) {
        return self.m_reported;
    }
    auto late = self.m_reported;
    self.m_reported.clear();
    for (const auto prefix : self.m_prefixes) {
        if (prefix % gap != 0U) {
            std::array<char, 17> text{};
            std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(prefix));
            self.m_reported.emplace_back(text.data());
        }
    }
    self.m_reported_at = now;
    return late;
}

[[nodiscard]] auto state(engine& self) -> boost::json::object {
    const auto& loaded = self.m_loaded;
    return {{"model", loaded.m_model},
            {"manifest", loaded.m_manifest},
            {"content", loaded.m_content},
            {"adapter", loaded.m_adapter},
            {"role", loaded.m_role},
            {"running", self.m_running.size()},
            {"waiting", self.m_waiting.size()},
            {"capacity", self.m_set.m_capacity},
            {"fencing", {{"ticket", self.m_fencing.m_ticket}, {"epoch", self.m_fencing.m_epoch}}},
            {"crashes", self.m_crashes},
            {"requests", self.m_last_id},
            {"cached_prefixes", cached_prefixes(self, steady_now())}};
}

/*! @brief Uses or fills the cache of prefixes. @return Whether the prefix was cached. */
[[nodiscard]] auto touch_prefix(engine& self, const std::string_view prompt) -> bool {
    constexpr std::size_t prefix_bytes = 256;
    const auto prefix = stable_hash(prompt.substr(0, prefix_bytes));
    const auto found = std::find(self.m_prefixes.begin(), self.m_prefixes.end(), prefix);
    const auto hit = found != self.m_prefixes.end();
    if (hit) {
        self.m_prefixes.erase(found);
    }
    self.m_prefixes.push_front(prefix);
    if (self.m_prefixes.size() > self.m_set.m_prefix_slots) {
        self.m_prefixes.pop_back();
    }
    return hit;
}

[[nodiscard]] auto envelope(const engine& self, const generation& made, boost::json::object choice)
    -> boost::json::object {
    const auto kind = made.m_chat ? (made.m_stream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return {{"id", "gen-" + std::to_string(made.m_id)},
            {"object", kind},
            {"model", made.m_model},
            {"system_fingerprint", fingerprint(self)},
            {"choices", boost::json::array{std::move(choice)}}};
}

[[nodiscard]] auto token_choice(const generation& made, const std::string& token) -> boost::json::object {
    if (made.m_chat) {
        return {{"index", 0}, {"delta", {{"content", token}}}, {"finish_reason", nullptr}};
    }
    return {{"index", 0}, {"text", token}, {"finish_reason", nullptr}};
}

[[nodiscard]] auto whole_choice(const generation& made) -> boost::json::object {
    if (made.m_chat) {
        return {
            {"index", 0}, {"message", {{"role", "assistant"}, {"content", made.m_text}}}, {"finish_reason", "stop"}};
    }
    return {{"index", 0}, {"text", made.m_text}, {"finish_reason", "stop"}};
}

auto finish(const engine& self, generation& made) -> void {
    made.m_gone = true;
    if (made.m_stream) {
        made.m_answer->write("data: [DONE]\n\n");
        return made.m_answer->finish();
    }
    auto body = envelope(self, made, whole_choice(made));
    body["usage"] = {{"completion_tokens", made.m_end}};
    made.m_answer->respond(json_response(200, body));
}

auto emit(const engine& self, generation& made) -> void {
    const auto token = token_at(made.m_prompt, fingerprint(self), made.m_next++);
    if (made.m_stream) {
        made.m_answer->write("data: " + boost::json::serialize(envelope(self, made, token_choice(made, token))) +
                             "\n\n");
    } else {
        made.m_text += token;
    }
    if (made.m_next >= made.m_end) {
        finish(self, made);
    }
}

auto admit(engine& self) -> void {
    while (!self.m_waiting.empty() && self.m_running.size() < self.m_set.m_capacity) {
        const auto first = self.m_waiting.front();
        self.m_waiting.pop_front();
        if (first->m_gone) {
            continue;
        }
        if (steady_now() > first->m_deadline) {
            first->m_answer->respond(refuse(504, "the deadline passed"));
            continue;
        }
        const auto kilobytes = static_cast<duration::rep>(first->m_prompt.size() / 1024U + 1U);
        first->m_prefill_left =
            touch_prefix(self, first->m_prompt) ? duration::zero() : self.m_set.m_prefill_time * kilobytes;
        if (first->m_stream) {
            first->m_answer->start({.m_status = 200,
                                    .m_headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}},
                                    .m_body = {}});
        }
        self.m_running.push_back(first);
    }
}

auto schedule(const engine_ptr& self) -> void;

/*! @brief One step of the batch: each request in it takes a token or a part of its prefill. */
auto step(const engine_ptr& self, const duration taken) -> void {
    self->m_stepping = false;
    if (!self->m_loading) {
        for (const auto& made : self->m_running) {
            if (made->m_prefill_left > duration::zero()) {
                made->m_prefill_left -= taken;
            } else if (!made->m_gone) {
                emit(*self, *made);
            }
        }
        std::erase_if(self->m_running, [](const auto& made) { return made->m_gone; });
        admit(*self);
    }
    schedule(self);
}

auto schedule(const engine_ptr& self) -> void {
    if (self->m_stepping || (self->m_running.empty() && self->m_waiting.empty())) {
        return;
    }
    self->m_stepping = true;
    const auto* slow = find(*self->m_faults, "slow");
    const auto taken = slow != nullptr ? slow->m_time : self->m_set.m_token_time;
    self->m_owner.after(taken, [self, taken] { step(self, taken); });
}

[[nodiscard]] auto make_generation(engine& self, const net::http_request& request,
                                   const std::shared_ptr<net::responder>& answer) -> std::shared_ptr<generation> {
    const auto body = parse_object(request.m_body);
    const auto header = [&request](const std::string_view name, const std::int64_t otherwise) {
        const auto text = std::string{net::find(request.m_headers, name)};
        return text.empty() ? otherwise : std::strtoll(text.c_str(), nullptr, 10);
    };
    auto made = std::make_shared<generation>();
    made->m_prompt = prompt_of(body);
    made->m_model = text_of(body, "model");
    made->m_id = ++self.m_last_id;
    made->m_next = static_cast<std::uint64_t>(header("X-Resume-Tokens", 0));
    made->m_end = static_cast<std::uint64_t>(number_of(body, "max_tokens", default_tokens));
    made->m_priority = static_cast<std::uint32_t>(header("X-Priority", 0));
    if (const auto left = header("X-Deadline-Ms", 0); left > 0) {
        made->m_deadline = steady_now() + std::chrono::milliseconds{left};
    }
    made->m_chat = request.m_target == "/v1/chat/completions";
    const auto* stream = body.if_contains("stream");
    made->m_stream = stream != nullptr && stream->is_bool() && stream->get_bool();
    made->m_answer = answer;
    return made;
}

auto generate(const engine_ptr& self, const net::http_request& request, const std::shared_ptr<net::responder>& answer)
    -> void {
    if (self->m_loading || self->m_loaded.m_content.empty()) {
        return answer->respond(refuse(503, "no version is loaded"));
    }
    const auto made = make_generation(*self, request, answer);
    if (made->m_model != self->m_loaded.m_model) {
        return answer->respond(refuse(404, "another model is loaded"));
    }
    if (made->m_next >= made->m_end) {
        made->m_next = made->m_end;
        if (made->m_stream) {
            answer->start({.m_status = 200, .m_headers = {{"Content-Type", "text/event-stream"}}, .m_body = {}});
        }
        return finish(*self, *made);
    }
    answer->on_close([made] { made->m_gone = true; });
    const auto place = std::find_if(self->m_waiting.begin(), self->m_waiting.end(),
                                    [&made](const auto& other) { return other->m_priority < made->m_priority; });
    self->m_waiting.insert(place, made);
    admit(*self);
    schedule(self);
}

using digest_context = std::shared_ptr<EVP_MD_CTX>;

[[nodiscard]] auto finish_digest(const digest_context& context) -> digest {
    digest value{};
    EVP_DigestFinal_ex(context.get(), value.m_bytes.data(), nullptr);
    return value;
}

/*! @brief Takes over what was read, if it is what the order named. */
auto end_load(engine& self, loaded_version wanted, const digest& read, const std::shared_ptr<net::responder>& answer)
    -> void {
    self.m_loading = false;
    if (to_hex(read) != wanted.m_content) {
        return answer->respond(refuse(422, "the content read has the digest " + to_hex(read)));
    }
    self.m_loaded = std::move(wanted);
    answer->respond(json_response(200, state(self)));
}

/*! @brief Splits `http://ADDRESS:PORT/PATH`. */
[[nodiscard]] auto parse_source(const std::string_view source) -> std::optional<std::pair<net::endpoint, std::string>> {
    constexpr std::string_view scheme = "http://";
    if (!source.starts_with(scheme)) {
        return std::nullopt;
    }
    const auto rest = source.substr(scheme.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const auto where = net::parse_endpoint(rest.substr(0, slash));
    return where ? std::optional{std::pair{*where, std::string{rest.substr(slash)}}} : std::nullopt;
}

auto read_content(const engine_ptr& self, const net::endpoint& where, const std::string& target,
                  const loaded_version& wanted, const std::shared_ptr<net::responder>& answer) -> void {
    const digest_context context{EVP_MD_CTX_new(), EVP_MD_CTX_free};
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    const auto load = ++self->m_loads;
    net::http_request request{};
    request.m_target = target;
    net::call_limits limits{};
    limits.m_total_time = std::chrono::minutes{10};
    net::call_handlers handlers{};
    const auto failed = std::make_shared<bool>(false);
    handlers.m_on_head = [failed](const net::http_response& head) {
        *failed = head.m_status / 100 != 2;
    };
    handlers.m_on_part = [context](const std::string_view part) {
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    };
    handlers.m_on_end = [self, load, context, failed, wanted, answer](const net::call_end& end) {
        if (load != self->m_loads) {
            return answer->respond(refuse(409, "another load order came"));
        }
        if (end.m_code != code::ok || *failed) {
            self->m_loading = false;
            return answer->respond(refuse(502, "the content could not be read"));
        }
        end_load(*self, wanted, finish_digest(context), answer);
    };
    self->m_http.send(where, std::move(request), limits, std::move(handlers));
}

/*! @brief Loads an adapter or a role over the content that is there, or reads a new content. */
auto load(const engine_ptr& self, const net::http_request& request, const std::shared_ptr<net::responder>& answer)
    -> void {
    const auto body = parse_object(request.m_body);
    const fencing_number order{number_of(body, "ticket"), number_of(body, "epoch")};
    const auto checks = !self->m_set.m_ignore_fencing && find(*self->m_faults, "ignore_fencing") == nullptr;
    if (checks && is_older(order, self->m_fencing)) {
        return answer->respond(refuse(409, "the fencing number has been passed"));
    }
    self->m_fencing = order;
    const loaded_version wanted{text_of(body, "model"), text_of(body, "manifest"), text_of(body, "content"),
                                text_of(body, "adapter"), text_of(body, "role")};
    const auto source = parse_source(text_of(body, "source"));
    if (!source) {
        return answer->respond(refuse(400, "source is not http://ADDRESS:PORT/PATH"));
    }
    self->m_loading = true;
    self->m_loaded = {};
    self->m_prefixes.clear();
    read_content(self, source->first, source->second, wanted, answer);
}

/*! @brief Forgets all, as a restarted process does. */
auto crash(engine& self) -> void {
    for (const auto& made : self.m_running) {
        made->m_answer->abort();
    }
    for (const auto& made : self.m_waiting) {
        made->m_answer->abort();
    }
    self.m_running.clear();
    self.m_waiting.clear();
    self.m_loaded = {};
    self.m_fencing = {};
    self.m_prefixes.clear();
    self.m_loading = false;
    ++self.m_loads;
    ++self.m_crashes;
}

} // namespace internal

auto make_engine(net::loop& owner, net::http_client& http, const options& set, const std::shared_ptr<faults>& table)
    -> net::http_handler {
    const auto self = std::make_shared<internal::engine>(owner, http, set, table);
    table->m_on_set = [weak = std::weak_ptr{self}](const fault& what) {
        const auto held = weak.lock();
        if (held && what.m_kind == "crashed") {
            internal::crash(*held);
        }
    };
    return [self](const net::http_request& request, const std::shared_ptr<net::responder>& answer) {
        const auto posted = request.m_method == "POST";
        if (request.m_target == "/v1/engine/state") {
            return answer->respond(json_response(200, internal::state(*self)));
        }
        if (posted && request.m_target == "/v1/engine/load") {
            return internal::load(self, request, answer);
        }
        if (posted && (request.m_target == "/v1/chat/completions" || request.m_target == "/v1/completions")) {
            return internal::generate(self, request, answer);
        }
        answer->respond(internal::refuse(404, "no such path"));
    };
}

} // namespace rhubarbwharf::standin
