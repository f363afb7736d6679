#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <sstream>
#include <stdexcept>

#include <rhubarbwharf/core/digest.hpp>

#include "standin.hpp"

namespace rhubarbwharf::standin {

namespace internal {

struct version {
    std::string m_name{};
    std::string m_version{};
    std::string m_path{};
    std::string m_bytes{};
    std::string m_manifest{};
    std::string m_digest{};
};

struct weight_store {
    std::deque<version> m_versions{};
    std::map<std::string, std::string> m_labels{};
    std::uint64_t m_bytes{};
    std::uint64_t m_requests{};
    time_point m_free_at{};
};

struct byte_range {
    std::size_t m_first{};
    std::size_t m_last{};
    bool m_partial{};
    bool m_valid{true};
};

/*! @brief Fills one chunk with bytes that depend on its seed only. */
auto fill(std::string& bytes, const std::size_t from, const std::size_t to, const std::uint64_t seed) -> void {
    constexpr auto word = sizeof(std::uint64_t);
    for (auto place = from; place < to; place += word) {
        const auto value = mix(seed, place);
        for (std::size_t index = 0; index < word && place + index < to; ++index) {
            bytes[place + index] = static_cast<char>((value >> (8U * index)) & 0xffU);
        }
    }
}

[[nodiscard]] auto make_manifest(const version& made, const std::size_t chunk_bytes) -> std::string {
    boost::json::array chunks{};
    for (std::size_t place = 0; place < made.m_bytes.size(); place += chunk_bytes) {
        chunks.emplace_back(to_hex(sha256(std::string_view{made.m_bytes}.substr(place, chunk_bytes))));
    }
    return boost::json::serialize(boost::json::object{{"model", made.m_name},
                                                      {"version", made.m_version},
                                                      {"size", made.m_bytes.size()},
                                                      {"chunk_bytes", chunk_bytes},
                                                      {"content", to_hex(sha256(made.m_bytes))},
                                                      {"chunks", chunks},
                                                      {"source", made.m_path}});
}

[[nodiscard]] auto make_version(const std::string& text, const options& set) -> version {
    std::istringstream words{text};
    version made{};
    std::string size{};
    std::getline(words, made.m_name, ':');
    std::getline(words, made.m_version, ':');
    std::getline(words, size);
    if (made.m_name.empty() || made.m_version.empty() || size.empty()) {
        throw std::invalid_argument{"--versions takes NAME:VERSION:SIZE,..."};
    }
    made.m_path = "/weights/" + made.m_name + "-" + made.m_version;
    made.m_bytes.resize(std::stoull(size));
    for (std::size_t place = 0; place < made.m_bytes.size(); place += set.m_chunk_bytes) {
        const auto shared = place / set.m_chunk_bytes < set.m_shared_chunks;
        const auto seed = stable_hash(shared ? made.m_name : made.m_path);
        fill(made.m_bytes, place, std::min(place + set.m_chunk_bytes, made.m_bytes.size()), seed);
    }
    made.m_manifest = make_manifest(made, set.m_chunk_bytes);
    made.m_digest = to_hex(sha256(made.m_manifest));
    return made;
}

[[nodiscard]] auto make_store(const options& set) -> std::shared_ptr<weight_store> {
    auto made = std::make_shared<weight_store>();
    std::istringstream words{set.m_versions};
    for (std::string text{}; std::getline(words, text, ',');) {
        made->m_versions.push_back(make_version(text, set));
        made->m_labels.emplace(made->m_versions.back().m_name, made->m_versions.back().m_digest);
    }
    return made;
}

[[nodiscard]] auto parse_range(const std::string_view text, const std::size_t size) -> byte_range {
    constexpr std::string_view unit = "bytes=";
    byte_range range{0, size - 1U, false, true};
    if (text.empty()) {
        return range;
    }
    range.m_partial = true;
    const auto dash = text.find('-');
    if (!text.starts_with(unit) || dash == std::string_view::npos) {
        range.m_valid = false;
        return range;
    }
    const auto* const middle = text.data() + dash;
    const auto* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data() + unit.size(), middle, range.m_first);
    if (middle + 1 != end) {
        std::from_chars(middle + 1, end, range.m_last);
    }
    range.m_last = std::min(range.m_last, size - 1U);
    range.m_valid = first.ec == std::errc{} && range.m_first <= range.m_last;
    return range;
}

[[nodiscard]] auto weights_response(const version& found, const byte_range& range) -> net::http_response {
    net::http_response response{};
    response.m_headers = {{"Content-Type", "application/octet-stream"}};
    if (!range.m_valid) {
        response.m_status = 416;
        return response;
    }
    response.m_body = found.m_bytes.substr(range.m_first, range.m_last - range.m_first + 1U);
    if (range.m_partial) {
        response.m_status = 206;
        response.m_headers.push_back({"Content-Range", "bytes " + std::to_string(range.m_first) + "-" +
                                                           std::to_string(range.m_last) + "/" +
                                                           std::to_string(found.m_bytes.size())});
    }
    return response;
}

/*! @brief Sends when the reads before have left the origin's link. */
auto send_paced(net::loop& owner, const options& set, weight_store& held, net::http_response response,
                std::shared_ptr<net::responder> answer) -> void {
    held.m_bytes += response.m_body.size();
    if (set.m_rate <= 0.0) {
        return answer->respond(std::move(response));
    }
    const auto seconds = std::chrono::duration<double>{static_cast<double>(response.m_body.size()) / set.m_rate};
    const auto now = steady_now();
    held.m_free_at = std::max(held.m_free_at, now) + std::chrono::duration_cast<duration>(seconds);
    owner.after(held.m_free_at - now,
                [answer = std::move(answer), response = std::move(response)] { answer->respond(response); });
}

[[nodiscard]] auto list(const weight_store& held) -> boost::json::object {
    boost::json::array rows{};
    for (const auto& found : held.m_versions) {
        rows.push_back({{"model", found.m_name}, {"version", found.m_version}, {"manifest", found.m_digest}});
    }
    return {{"versions", rows}};
}

[[nodiscard]] auto label(weight_store& held, const std::string& name, const net::http_request& request)
    -> net::http_response {
    if (request.m_method == "POST") {
        held.m_labels[name] = text_of(parse_object(request.m_body), "manifest");
    }
    const auto found = held.m_labels.find(name);
    return found == held.m_labels.end() ? json_response(404, boost::json::object{})
                                        : json_response(200, boost::json::object{{"manifest", found->second}});
}

[[nodiscard]] auto find_version(const weight_store& held, const std::string_view target) -> const version* {
    const auto found = std::find_if(held.m_versions.begin(), held.m_versions.end(), [target](const version& row) {
        return target == row.m_path || target == "/manifests/" + row.m_digest;
    });
    return found == held.m_versions.end() ? nullptr : &*found;
}

} // namespace internal

auto make_origin(net::loop& owner, const options& set) -> net::http_handler {
    const auto held = internal::make_store(set);
    return [&owner, set, held](const net::http_request& request, const std::shared_ptr<net::responder>& answer) {
        constexpr std::string_view labels = "/labels/";
        ++held->m_requests;
        if (request.m_target == "/counts") {
            return answer->respond(
                json_response(200, boost::json::object{{"bytes", held->m_bytes}, {"requests", held->m_requests}}));
        }
        if (request.m_target == "/versions") {
            return answer->respond(json_response(200, internal::list(*held)));
        }
        if (request.m_target.starts_with(labels)) {
            return answer->respond(internal::label(*held, request.m_target.substr(labels.size()), request));
        }
        const auto* found = internal::find_version(*held, request.m_target);
        if (found == nullptr) {
            return answer->respond(json_response(404, boost::json::object{{"error", "no such path"}}));
        }
        if (request.m_target != found->m_path) {
            return answer->respond(
                {.m_status = 200, .m_headers = {{"Content-Type", "application/json"}}, .m_body = found->m_manifest});
        }
        const auto range = internal::parse_range(net::find(request.m_headers, "Range"), found->m_bytes.size());
        internal::send_paced(owner, set, *held, internal::weights_response(*found, range), answer);
    };
}

} // namespace rhubarbwharf::standin
