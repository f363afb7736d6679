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

/*! @brief Loaded model version; empty while nothing is loaded. The content digest is computed from the bytes read. */
struct loaded_version {
    std::string m_model{};
    std::string m_manifest{};
    std::string m_content{};
    std::string m_adapter{};
    std::string m_role{};
};

/*! @brief Completion request that is queued or part of the running batch. */
struct generation_request {
    std::string m_prompt{};
    std::string m_model{};
    std::string m_text{};
    std::uint64_t m_request_id{};
    /*! @brief Index of the next token; starts above 0 when the request resumes an interrupted stream. */
    std::uint64_t m_next_token{};
    std::uint64_t m_token_count{};
    std::uint32_t m_priority{};
    duration m_remaining_prefill{};
    time_point m_deadline{time_point::max()};
    bool m_chat{};
    bool m_stream{};
    /*! @brief Set once the response is complete or the client has disconnected. */
    bool m_finished{};
    std::shared_ptr<net::responder> m_responder{};
};

struct engine {
    engine(net::loop& owner, net::http_client& http, options settings, std::shared_ptr<fault_table> faults)
        : m_owner{owner}, m_http{http}, m_options{std::move(settings)}, m_faults{std::move(faults)} {}

    net::loop& m_owner;
    net::http_client& m_http;
    options m_options;
    std::shared_ptr<fault_table> m_faults;
    loaded_version m_loaded{};
    fencing_number m_fencing{};
    std::deque<std::shared_ptr<generation_request>> m_waiting{};
    std::vector<std::shared_ptr<generation_request>> m_running{};
    std::list<std::uint64_t> m_prefix_cache{};
    boost::json::array m_reported_prefixes{};
    time_point m_reported_at{};
    std::uint64_t m_last_request_id{};
    std::uint64_t m_crash_count{};
    std::uint64_t m_last_load_id{};
    bool m_loading{};
    bool m_step_scheduled{};
};

using engine_ptr = std::shared_ptr<engine>;

[[nodiscard]] auto engine_error(const std::uint16_t status, const std::string_view message) -> net::http_response {
    return json_response(status, boost::json::object{{"error", {{"message", message}}}});
}

[[nodiscard]] auto fingerprint(const engine& self) -> std::string {
    return self.m_loaded.m_content.substr(0, fingerprint_digits);
}

/*! @brief Returns a stale, incomplete list of cached prefixes: the previous report, without hashes divisible by 5. */
[[nodiscard]] auto delayed_prefix_report(engine& self, const time_point now) -> boost::json::array {
    constexpr auto omitted_divisor = 5U;
    if (now - self.m_reported_at < self.m_options.m_report_delay) {
        return self.m_reported_prefixes;
    }
    auto previous = self.m_reported_prefixes;
    self.m_reported_prefixes.clear();
    for (const auto prefix : self.m_prefix_cache) {
        if (prefix % omitted_divisor != 0U) {
            std::array<char, 17> text{};
            std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(prefix));
            self.m_reported_prefixes.emplace_back(text.data());
        }
    }
    self.m_reported_at = now;
    return previous;
}

[[nodiscard]] auto state_json(engine& self) -> boost::json::object {
    const auto& loaded = self.m_loaded;
    return {{"model", loaded.m_model},
            {"manifest", loaded.m_manifest},
            {"content", loaded.m_content},
            {"adapter", loaded.m_adapter},
            {"role", loaded.m_role},
            {"running", self.m_running.size()},
            {"waiting", self.m_waiting.size()},
            {"capacity", self.m_options.m_capacity},
            {"fencing", {{"ticket", self.m_fencing.m_ticket}, {"epoch", self.m_fencing.m_epoch}}},
            {"crashes", self.m_crash_count},
            {"requests", self.m_last_request_id},
            {"cached_prefixes", delayed_prefix_report(self, steady_now())}};
}

/*! @brief Moves the prompt's prefix to the front of the LRU cache. @return Whether the prefix was already cached. */
[[nodiscard]] auto update_prefix_cache(engine& self, const std::string_view prompt) -> bool {
    constexpr std::size_t prefix_bytes = 256;
    const auto prefix = stable_hash(prompt.substr(0, prefix_bytes));
    const auto match = std::find(self.m_prefix_cache.begin(), self.m_prefix_cache.end(), prefix);
    const auto hit = match != self.m_prefix_cache.end();
    if (hit) {
        self.m_prefix_cache.erase(match);
    }
    self.m_prefix_cache.push_front(prefix);
    if (self.m_prefix_cache.size() > self.m_options.m_prefix_cache_capacity) {
        self.m_prefix_cache.pop_back();
    }
    return hit;
}

[[nodiscard]] auto completion_json(const engine& self, const generation_request& generation, boost::json::object choice)
    -> boost::json::object {
    const auto kind =
        generation.m_chat ? (generation.m_stream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return {{"id", "gen-" + std::to_string(generation.m_request_id)},
            {"object", kind},
            {"model", generation.m_model},
            {"system_fingerprint", fingerprint(self)},
            {"choices", boost::json::array{std::move(choice)}}};
}

[[nodiscard]] auto token_choice(const generation_request& generation, const std::string& token) -> boost::json::object {
    if (generation.m_chat) {
        return {{"index", 0}, {"delta", {{"content", token}}}, {"finish_reason", nullptr}};
    }
    return {{"index", 0}, {"text", token}, {"finish_reason", nullptr}};
}

[[nodiscard]] auto complete_choice(const generation_request& generation) -> boost::json::object {
    if (generation.m_chat) {
        return {{"index", 0},
                {"message", {{"role", "assistant"}, {"content", generation.m_text}}},
                {"finish_reason", "stop"}};
    }
    return {{"index", 0}, {"text", generation.m_text}, {"finish_reason", "stop"}};
}

auto finish_generation(const engine& self, generation_request& generation) -> void {
    generation.m_finished = true;
    if (generation.m_stream) {
        generation.m_responder->write("data: [DONE]\n\n");
        return generation.m_responder->finish();
    }
    auto body = completion_json(self, generation, complete_choice(generation));
    body["usage"] = {{"completion_tokens", generation.m_token_count}};
    generation.m_responder->respond(json_response(200, body));
}

auto emit_token(const engine& self, generation_request& generation) -> void {
    const auto token = token_at(generation.m_prompt, fingerprint(self), generation.m_next_token++);
    if (generation.m_stream) {
        generation.m_responder->write(
            "data: " + boost::json::serialize(completion_json(self, generation, token_choice(generation, token))) +
            "\n\n");
    } else {
        generation.m_text += token;
    }
    if (generation.m_next_token >= generation.m_token_count) {
        finish_generation(self, generation);
    }
}

auto admit_waiting(engine& self) -> void {
    while (!self.m_waiting.empty() && self.m_running.size() < self.m_options.m_capacity) {
        const auto first = self.m_waiting.front();
        self.m_waiting.pop_front();
        if (first->m_finished) {
            continue;
        }
        if (steady_now() > first->m_deadline) {
            first->m_responder->respond(engine_error(504, "the deadline passed"));
            continue;
        }
        const auto kilobytes = static_cast<duration::rep>(first->m_prompt.size() / 1024U + 1U);
        first->m_remaining_prefill = update_prefix_cache(self, first->m_prompt)
                                         ? duration::zero()
                                         : self.m_options.m_prefill_time_per_kilobyte * kilobytes;
        if (first->m_stream) {
            first->m_responder->start(
                {.m_status = 200,
                 .m_headers = {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}},
                 .m_body = {}});
        }
        self.m_running.push_back(first);
    }
}

auto schedule_step(const engine_ptr& self) -> void;

/*! @brief Runs one batch step: each request either emits a token or advances its prefill by the step time. */
auto run_step(const engine_ptr& self, const duration step_time) -> void {
    self->m_step_scheduled = false;
    if (!self->m_loading) {
        for (const auto& generation : self->m_running) {
            if (generation->m_remaining_prefill > duration::zero()) {
                generation->m_remaining_prefill -= step_time;
            } else if (!generation->m_finished) {
                emit_token(*self, *generation);
            }
        }
        std::erase_if(self->m_running, [](const auto& generation) { return generation->m_finished; });
        admit_waiting(*self);
    }
    schedule_step(self);
}

auto schedule_step(const engine_ptr& self) -> void {
    if (self->m_step_scheduled || (self->m_running.empty() && self->m_waiting.empty())) {
        return;
    }
    self->m_step_scheduled = true;
    const auto* slow = find_fault(*self->m_faults, "slow");
    const auto step_time = slow != nullptr ? slow->m_duration : self->m_options.m_decode_step_time;
    self->m_owner.after(step_time, [self, step_time] { run_step(self, step_time); });
}

[[nodiscard]] auto make_generation(engine& self, const net::http_request& request,
                                   const std::shared_ptr<net::responder>& responder)
    -> std::shared_ptr<generation_request> {
    const auto body = parse_object(request.m_body);
    const auto header = [&request](const std::string_view name, const std::int64_t fallback) {
        const auto text = std::string{net::find(request.m_headers, name)};
        return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
    };
    auto generation = std::make_shared<generation_request>();
    generation->m_prompt = prompt_of(body);
    generation->m_model = string_member(body, "model");
    generation->m_request_id = ++self.m_last_request_id;
    generation->m_next_token = static_cast<std::uint64_t>(header("X-Resume-Tokens", 0));
    generation->m_token_count = static_cast<std::uint64_t>(integer_member(body, "max_tokens", default_max_tokens));
    generation->m_priority = static_cast<std::uint32_t>(header("X-Priority", 0));
    if (const auto remaining_ms = header("X-Deadline-Ms", 0); remaining_ms > 0) {
        generation->m_deadline = steady_now() + std::chrono::milliseconds{remaining_ms};
    }
    generation->m_chat = request.m_target == "/v1/chat/completions";
    const auto* stream = body.if_contains("stream");
    generation->m_stream = stream != nullptr && stream->is_bool() && stream->get_bool();
    generation->m_responder = responder;
    return generation;
}

auto handle_generate(const engine_ptr& self, const net::http_request& request,
                     const std::shared_ptr<net::responder>& responder) -> void {
    if (self->m_loading || self->m_loaded.m_content.empty()) {
        return responder->respond(engine_error(503, "no version is loaded"));
    }
    const auto generation = make_generation(*self, request, responder);
    if (generation->m_model != self->m_loaded.m_model) {
        return responder->respond(engine_error(404, "another model is loaded"));
    }
    if (generation->m_next_token >= generation->m_token_count) {
        generation->m_next_token = generation->m_token_count;
        if (generation->m_stream) {
            responder->start({.m_status = 200, .m_headers = {{"Content-Type", "text/event-stream"}}, .m_body = {}});
        }
        return finish_generation(*self, *generation);
    }
    responder->on_close([generation](net::close_reason) { generation->m_finished = true; });
    const auto position =
        std::find_if(self->m_waiting.begin(), self->m_waiting.end(),
                     [&generation](const auto& other) { return other->m_priority < generation->m_priority; });
    self->m_waiting.insert(position, generation);
    admit_waiting(*self);
    schedule_step(self);
}

using digest_context = std::shared_ptr<EVP_MD_CTX>;

[[nodiscard]] auto finish_digest(const digest_context& hash) -> digest {
    digest value{};
    EVP_DigestFinal_ex(hash.get(), value.m_bytes.data(), nullptr);
    return value;
}

/*! @brief Activates the version if the digest of the bytes read matches the requested content digest. */
auto complete_load(engine& self, loaded_version version, const digest& actual,
                   const std::shared_ptr<net::responder>& responder) -> void {
    self.m_loading = false;
    if (to_hex(actual) != version.m_content) {
        return responder->respond(engine_error(422, "the content read has the digest " + to_hex(actual)));
    }
    self.m_loaded = std::move(version);
    responder->respond(json_response(200, state_json(self)));
}

/*! @brief Parses `http://ADDRESS:PORT/PATH`. @return Endpoint and path, or nothing if the text has another form. */
[[nodiscard]] auto parse_source(const std::string_view source) -> std::optional<std::pair<net::endpoint, std::string>> {
    constexpr std::string_view scheme = "http://";
    if (!source.starts_with(scheme)) {
        return std::nullopt;
    }
    const auto rest = source.substr(scheme.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const auto endpoint = net::parse_endpoint(rest.substr(0, slash));
    return endpoint ? std::optional{std::pair{*endpoint, std::string{rest.substr(slash)}}} : std::nullopt;
}

auto read_content(const engine_ptr& self, const net::endpoint& endpoint, const std::string& target,
                  const loaded_version& version, const std::shared_ptr<net::responder>& responder) -> void {
    const digest_context hash{EVP_MD_CTX_new(), EVP_MD_CTX_free};
    EVP_DigestInit_ex(hash.get(), EVP_sha256(), nullptr);
    const auto load_id = ++self->m_last_load_id;
    net::http_request request{};
    request.m_target = target;
    net::call_limits limits{};
    limits.m_total_time = std::chrono::minutes{10};
    net::call_handlers handlers{};
    const auto failed = std::make_shared<bool>(false);
    handlers.m_on_head = [failed](const net::http_response& head) {
        *failed = head.m_status / 100 != 2;
    };
    handlers.m_on_part = [hash](const std::string_view part) {
        EVP_DigestUpdate(hash.get(), part.data(), part.size());
    };
    handlers.m_on_end = [self, load_id, hash, failed, version, responder](const net::call_end& result) {
        if (load_id != self->m_last_load_id) {
            return responder->respond(engine_error(409, "another load order came"));
        }
        if (result.m_code != code::ok || *failed) {
            self->m_loading = false;
            return responder->respond(engine_error(502, "the content could not be read"));
        }
        complete_load(*self, version, finish_digest(hash), responder);
    };
    self->m_http.send(endpoint, std::move(request), limits, std::move(handlers));
}

/*! @brief Handles a load order: checks its fencing number, unloads the current version and reads the content. */
auto handle_load(const engine_ptr& self, const net::http_request& request,
                 const std::shared_ptr<net::responder>& responder) -> void {
    const auto body = parse_object(request.m_body);
    const fencing_number requested{integer_member(body, "ticket"), integer_member(body, "epoch")};
    const auto checks_fencing =
        !self->m_options.m_ignore_fencing && find_fault(*self->m_faults, "ignore_fencing") == nullptr;
    if (checks_fencing && is_older(requested, self->m_fencing)) {
        return responder->respond(engine_error(409, "the fencing number has been passed"));
    }
    self->m_fencing = requested;
    const loaded_version version{string_member(body, "model"), string_member(body, "manifest"),
                                 string_member(body, "content"), string_member(body, "adapter"),
                                 string_member(body, "role")};
    const auto source = parse_source(string_member(body, "source"));
    if (!source) {
        return responder->respond(engine_error(400, "source is not http://ADDRESS:PORT/PATH"));
    }
    self->m_loading = true;
    self->m_loaded = {};
    self->m_prefix_cache.clear();
    read_content(self, source->first, source->second, version, responder);
}

/*! @brief Simulates a restart: aborts all requests, unloads the version and clears the fencing number and prefix cache.
 */
auto crash(engine& self) -> void {
    for (const auto& generation : self.m_running) {
        generation->m_responder->abort();
    }
    for (const auto& generation : self.m_waiting) {
        generation->m_responder->abort();
    }
    self.m_running.clear();
    self.m_waiting.clear();
    self.m_loaded = {};
    self.m_fencing = {};
    self.m_prefix_cache.clear();
    self.m_loading = false;
    ++self.m_last_load_id;
    ++self.m_crash_count;
}

} // namespace internal

auto make_engine(net::loop& owner, net::http_client& http, const options& settings,
                 const std::shared_ptr<fault_table>& faults) -> net::http_handler {
    const auto self = std::make_shared<internal::engine>(owner, http, settings, faults);
    faults->m_on_set = [weak = std::weak_ptr{self}](const fault& injected) {
        const auto locked = weak.lock();
        if (locked && injected.m_kind == "crashed") {
            internal::crash(*locked);
        }
    };
    return [self](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
        const auto is_post = request.m_method == "POST";
        if (request.m_target == "/v1/engine/state") {
            return responder->respond(json_response(200, internal::state_json(*self)));
        }
        if (is_post && request.m_target == "/v1/engine/load") {
            return internal::handle_load(self, request, responder);
        }
        if (is_post && (request.m_target == "/v1/chat/completions" || request.m_target == "/v1/completions")) {
            return internal::handle_generate(self, request, responder);
        }
        responder->respond(internal::engine_error(404, "no such path"));
    };
}

} // namespace rhubarbwharf::standin
