#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <boost/json.hpp>

#include <entry/daemon.hpp>
#include <rhubarbwharf/entry/key_time.hpp>
#include <rhubarbwharf/setup/settings.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr std::string_view services_path = "/v1/services/";
constexpr std::size_t max_prefix_bytes = 256;
constexpr std::uint32_t max_deadline_ms = 600'000;
constexpr std::uint32_t max_priority = 255;
constexpr auto dropped_headers = std::to_array<std::string_view>(
    {"authorization", "connection", "content-length", "expect", "host", "idempotency-key", "idempotency-key-time",
     "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "x-deadline-ms", "x-fencing", "x-priority",
     "x-resume-tokens"});
constexpr auto allowed_methods = std::to_array<std::string_view>({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"});

/*! @brief Why a request is refused during validation; `ok` if it is valid. */
struct refusal {
    code m_code{code::ok};
    std::string_view m_detail{};
};

[[nodiscard]] auto to_lower(const std::string_view text) -> std::string {
    std::string out{text};
    std::ranges::transform(out, out.begin(),
                           [](const unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return out;
}

[[nodiscard]] auto read_number_header(const std::vector<net::header>& headers, const std::string_view name,
                                      const std::uint32_t default_value, const std::uint32_t maximum)
    -> std::optional<std::uint32_t> {
    const auto text = net::find(headers, name);
    if (text.empty()) {
        return default_value;
    }
    std::uint64_t value{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (fault != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, maximum));
}

auto copy_headers(wire::Dispatch& out, const std::vector<net::header>& headers) -> void {
    for (const auto& field : headers) {
        if (std::ranges::find(dropped_headers, to_lower(field.m_name)) == dropped_headers.end()) {
            auto& copy = *out.add_headers();
            copy.set_name(field.m_name);
            copy.set_value(field.m_value);
        }
    }
}

[[nodiscard]] auto extract_prompt(const boost::json::object& body) -> std::string {
    if (const auto* const prompt = body.if_contains("prompt"); prompt != nullptr && prompt->is_string()) {
        return std::string{prompt->get_string()};
    }
    std::string text{};
    const auto* const messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return text;
    }
    for (const auto& message : messages->get_array()) {
        const auto* const content = message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (content != nullptr && content->is_string()) {
            text += std::string_view{content->get_string()};
        }
        if (text.size() >= max_prefix_bytes) {
            break;
        }
    }
    return text;
}

[[nodiscard]] auto find_group(const daemon& self, const std::string_view model) -> std::string {
    constexpr std::string_view group_scope_prefix = "group:";
    for (const auto& entry : self.m_desired_state.m_entries) {
        if (entry.m_scope.starts_with(group_scope_prefix) && entry.m_state.m_model == model) {
            return entry.m_scope.substr(group_scope_prefix.size());
        }
    }
    for (const auto& row : self.m_members.m_members) {
        if (!row.m_report.m_plain_service && row.m_report.m_model == model) {
            return row.m_report.m_group;
        }
    }
    return {};
}

[[nodiscard]] auto read_model_request(const daemon& self, const net::http_request& incoming, request& out) -> refusal {
    if (incoming.m_method != "POST") {
        return {code::method_not_allowed, "the path takes POST"};
    }
    boost::json::error_code fault{};
    const auto parsed = boost::json::parse(incoming.m_body, fault);
    if (fault || !parsed.is_object()) {
        return {code::bad_request, "the body is not a JSON object"};
    }
    const auto& body = parsed.get_object();
    const auto* const model = body.if_contains("model");
    if (model == nullptr || !model->is_string()) {
        return {code::bad_request, "`model` is missing or no string"};
    }
    out.m_group = find_group(self, model->get_string());
    if (out.m_group.empty()) {
        return {code::unknown_model, "no group serves this model"};
    }
    const auto* const stream = body.if_contains("stream");
    out.m_progress.m_stream = stream != nullptr && stream->is_bool() && stream->get_bool();
    out.m_dispatch.set_model(std::string{model->get_string()});
    const auto prompt = extract_prompt(body);
    out.m_prefix_hash = prompt.empty() ? 0U : stable_hash(std::string_view{prompt}.substr(0, max_prefix_bytes));
    return {};
}

[[nodiscard]] auto is_canonical_path(const std::string_view path) -> bool {
    return path.find('%') == std::string_view::npos && path.find("//") == std::string_view::npos &&
           path.find("/.") == std::string_view::npos && path.find(';') == std::string_view::npos &&
           path.find('\\') == std::string_view::npos && (path.size() == 1U || !path.ends_with('/'));
}

[[nodiscard]] auto read_idempotency_key(const net::http_request& incoming, request& out) -> refusal {
    const auto key = net::find(incoming.m_headers, "Idempotency-Key");
    if (key.empty()) {
        return {code::key_missing, "this operation needs an Idempotency-Key header"};
    }
    const auto created = parse_key_time(key, net::find(incoming.m_headers, "Idempotency-Key-Time"));
    if (!created) {
        return {code::key_missing, "the Idempotency-Key does not say when it was made: send Idempotency-Key-Time in "
                                   "milliseconds since the epoch, or a key that starts with them, or a version 7 UUID"};
    }
    out.m_dispatch.set_idempotency_key(std::string{key});
    out.m_dispatch.set_key_time_ms(static_cast<std::uint64_t>(created->time_since_epoch().count()));
    return {};
}

[[nodiscard]] auto read_service_request(const daemon& self, const net::http_request& incoming, request& out)
    -> refusal {
    const auto rest = std::string_view{incoming.m_target}.substr(services_path.size());
    const auto name = rest.substr(0, rest.find_first_of("/?"));
    const auto service = std::ranges::find(self.m_settings.m_services, name, &config::service_settings::m_name);
    if (service == self.m_settings.m_services.end()) {
        return {code::not_found, "there is no such service"};
    }
    if (std::ranges::find(allowed_methods, incoming.m_method) == allowed_methods.end()) {
        return {code::method_not_allowed, "the method is not passed on"};
    }
    const auto tail = rest.substr(name.size());
    const auto target = tail.starts_with('/') ? std::string{tail} : "/" + std::string{tail};
    const auto path = std::string_view{target}.substr(0, target.find('?'));
    const auto is_read = incoming.m_method == "GET" || incoming.m_method == "HEAD";
    if (!is_read && !is_canonical_path(path)) {
        return {code::bad_request, "the path is not in its plain form"};
    }
    out.m_group = name;
    out.m_dispatch.set_target(target);
    const auto operation = incoming.m_method + ' ' + std::string{path};
    out.m_progress.m_non_idempotent =
        std::ranges::find(service->m_non_idempotent, operation) != service->m_non_idempotent.end();
    out.m_dispatch.set_non_idempotent(out.m_progress.m_non_idempotent);
    return out.m_progress.m_non_idempotent ? read_idempotency_key(incoming, out) : refusal{};
}

[[nodiscard]] auto read_limits(const daemon& self, const net::http_request& incoming, request& out) -> refusal {
    const auto deadline = read_number_header(incoming.m_headers, "X-Deadline-Ms",
                                             self.m_settings.m_routing.m_default_deadline_ms, max_deadline_ms);
    const auto priority = read_number_header(incoming.m_headers, "X-Priority", 0U, max_priority);
    if (!deadline || *deadline == 0U || !priority) {
        return {code::bad_request, "X-Deadline-Ms or X-Priority is no number in its range"};
    }
    out.m_progress.m_deadline = out.m_arrived + std::chrono::milliseconds{*deadline};
    out.m_dispatch.set_priority(*priority);
    return {};
}

[[nodiscard]] auto read_request(const daemon& self, const net::http_request& incoming, request& out) -> refusal {
    out.m_dispatch.set_method(incoming.m_method);
    out.m_dispatch.set_target(incoming.m_target);
    if (const auto rejected = read_limits(self, incoming, out); rejected.m_code != code::ok) {
        return rejected;
    }
    const auto path = std::string_view{incoming.m_target}.substr(0, incoming.m_target.find('?'));
    if (path.starts_with(services_path)) {
        return read_service_request(self, incoming, out);
    }
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        return read_model_request(self, incoming, out);
    }
    return {code::not_found, "there is no such path"};
}

[[nodiscard]] auto locality_rank(const daemon& self, const config::entry_settings& entry) noexcept -> int {
    if (entry.m_data_centre == self.m_settings.m_data_centre) {
        return 0;
    }
    return entry.m_region == self.m_settings.m_region ? 1 : 2;
}

[[nodiscard]] auto is_available(const daemon& self, const config::entry_settings& entry, const time_point now) -> bool {
    if (entry.m_instance == self.m_settings.m_instance) {
        return !self.m_leaving;
    }
    const auto found = self.m_peers.find(entry.m_instance);
    if (found == self.m_peers.end() || found->second.m_leaving) {
        return false;
    }
    return !is_silent(self, found->second, now);
}

auto respond_entries(daemon& self, const std::shared_ptr<net::responder>& responder) -> void {
    std::vector<config::entry_settings> available{};
    const auto now = steady_now();
    std::ranges::copy_if(self.m_settings.m_entries, std::back_inserter(available),
                         [&self, now](const auto& entry) { return is_available(self, entry, now); });
    std::ranges::stable_sort(available, {}, [&self](const auto& entry) { return locality_rank(self, entry); });
    boost::json::array entries{};
    for (const auto& entry : available) {
        entries.push_back({{"instance", entry.m_instance},
                           {"region", entry.m_region},
                           {"data_centre", entry.m_data_centre},
                           {"address", entry.m_callers}});
    }
    net::http_response out{};
    out.m_headers = {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}};
    out.m_body = boost::json::serialize(
        boost::json::object{{"ttl_ms", self.m_settings.m_drain.m_entries_ttl_ms}, {"entries", std::move(entries)}});
    responder->respond(std::move(out));
}

} // namespace internal

auto on_caller_request(daemon& self, net::http_request incoming, std::shared_ptr<net::responder> responder) -> void {
    if (incoming.m_target == "/v1/entries" && incoming.m_method == "GET") {
        return internal::respond_entries(self, responder);
    }
    const auto* const owner = setup::owner_of(self.m_settings.m_organisations, incoming.m_headers);
    if (owner == nullptr) {
        self.m_counters.add("entry_refusals_total", 1.0, describe(code::unauthorised).m_name);
        return responder->respond(
            net::problem(code::unauthorised, outcome::not_run, "no organisation has this key", {}));
    }
    const auto pending = std::make_shared<request>();
    pending->m_arrived = steady_now();
    const auto rejected = internal::read_request(self, incoming, *pending);
    if (rejected.m_code != code::ok) {
        self.m_counters.add("entry_refusals_total", 1.0, describe(rejected.m_code).m_name);
        return responder->respond(net::problem(rejected.m_code, outcome::not_run, rejected.m_detail, {}));
    }
    pending->m_id = request_id{++self.m_last_request_id};
    pending->m_organisation = self.m_organisations.emplace(owner->m_name);
    pending->m_content_digest =
        keyed_digest(self, owner->m_name, pending->m_dispatch.target() + '\n' + incoming.m_body);
    internal::copy_headers(pending->m_dispatch, incoming.m_headers);
    pending->m_dispatch.set_request(pending->m_id.value());
    pending->m_dispatch.set_organisation(owner->m_name);
    pending->m_dispatch.set_group(pending->m_group);
    pending->m_dispatch.set_stream(pending->m_progress.m_stream);
    pending->m_dispatch.set_content_digest(pending->m_content_digest);
    pending->m_dispatch.set_body(std::move(incoming.m_body));
    pending->m_responder = std::move(responder);
    pending->m_responder->on_close(
        [&self, id = pending->m_id](net::close_reason) { on_caller_disconnected(self, id); });
    submit_request(self, pending);
}

} // namespace rhubarbwharf::entry
