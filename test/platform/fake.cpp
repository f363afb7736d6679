#include "platform/fake.hpp"

#include <boost/json.hpp>

#include <rhubarbwharf/core/base64.hpp>

namespace rhubarbwharf::platform {

namespace json = boost::json;

namespace {

[[nodiscard]] auto text_of(const json::object& object, const std::string_view name) -> std::string {
    const auto* const member = object.if_contains(name);
    return member == nullptr ? std::string{} : std::string{member->as_string()};
}

[[nodiscard]] auto bytes_of(const json::object& object, const std::string_view name) -> std::string {
    return *from_base64(text_of(object, name));
}

[[nodiscard]] auto key_json(const key_value& key) -> std::string {
    return R"({"key":")" + to_base64(key.m_key) + R"(","value":")" + to_base64(key.m_value) + R"(","mod_revision":")" +
           std::to_string(key.m_modified) + "\"}";
}

} // namespace

fake::fake(net::loop& owner)
    : m_server{owner, {}, [this](const net::http_request& request, const std::shared_ptr<net::responder>& answer) {
                   handle(request, answer);
               }} {
    net::ensure_listening(m_server);
}

auto fake::settings() const -> client_settings {
    client_settings made{};
    made.m_servers = {net::local(m_server.port())};
    made.m_reads_per_second = 1'000.0;
    made.m_writes_per_second = 1'000.0;
    made.m_seed = 7U;
    return made;
}

auto fake::header() const -> std::string {
    return R"("header":{"revision":")" + std::to_string(m_revision) + "\"}";
}

auto fake::write(const std::string& key, const std::string& value) -> void {
    m_keys[key] = {key, value, ++m_revision, 0};
    const auto line = "{\"result\":{" + header() + R"(,"events":[{"kv":)" + key_json(m_keys[key]) + "}]}}\n";
    for (const auto& each : m_watchers) {
        each->write(line);
    }
}

auto fake::cut_watches() -> void {
    for (const auto& each : m_watchers) {
        each->abort();
    }
    m_watchers.clear();
}

auto fake::handle(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void {
    if (request.m_target == "/v3/kv/range") {
        range(request, answer);
    } else if (request.m_target == "/v3/kv/txn") {
        txn(request, answer);
    } else if (request.m_target == "/v3/watch") {
        answer->start({});
        answer->write("{\"result\":{" + header() + ",\"created\":true}}\n");
        m_watchers.push_back(answer);
    } else if (request.m_target == "/v3/lease/grant") {
        answer->respond({200U, {}, R"({"ID":"77","TTL":"10"})"});
        m_lease = 77;
    } else if (request.m_target == "/v3/lease/keepalive") {
        const std::string left = m_lease == 0 ? "0" : "10";
        answer->respond({200U, {}, R"({"result":{"ID":"77","TTL":")" + left + "\"}}\n"});
    } else {
        m_lease = 0;
        answer->respond({200U, {}, "{" + header() + "}"});
    }
}

auto fake::range(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void {
    ++m_reads;
    if (m_reads_to_lose > 0) {
        --m_reads_to_lose;
        answer->abort();
        return;
    }
    const auto body = json::parse(request.m_body).as_object();
    const auto from = bytes_of(body, "key");
    const auto to = body.contains("range_end") ? bytes_of(body, "range_end") : from + '\0';
    std::string list{};
    for (auto each = m_keys.lower_bound(from); each != m_keys.end() && each->first < to; ++each) {
        list += (list.empty() ? "" : ",") + key_json(each->second);
    }
    answer->respond({200U, {}, "{" + header() + ",\"kvs\":[" + list + "]}"});
}

auto fake::txn(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void {
    ++m_writes;
    if (m_writes_to_lose > 0) {
        --m_writes_to_lose;
        answer->abort();
        return;
    }
    const auto body = json::parse(request.m_body).as_object();
    const auto compare = body.at("compare").as_array().at(0U).as_object();
    const auto key = bytes_of(compare, "key");
    const auto found = m_keys.find(key);
    const auto stands = found == m_keys.end() ? "0" : std::to_string(found->second.m_modified);
    const auto expected = text_of(compare, "target") == "MOD" ? text_of(compare, "mod_revision") : "0";
    if (stands != expected) {
        const auto list = found == m_keys.end() ? std::string{} : key_json(found->second);
        answer->respond({200U, {}, "{" + header() + R"(,"responses":[{"response_range":{"kvs":[)" + list + "]}}]}"});
        return;
    }
    const auto put = body.at("success").as_array().at(0U).as_object().at("request_put").as_object();
    write(key, bytes_of(put, "value"));
    if (m_answers_to_deny > 0) {
        --m_answers_to_deny;
        answer->respond({503U, {}, "{}"});
        return;
    }
    if (m_answers_to_lose > 0) {
        --m_answers_to_lose;
        if (m_before_loss) {
            m_before_loss();
        }
        answer->abort();
        return;
    }
    answer->respond({200U, {}, "{" + header() + R"(,"succeeded":true,"responses":[{"response_put":{}}]})"});
}

} // namespace rhubarbwharf::platform
