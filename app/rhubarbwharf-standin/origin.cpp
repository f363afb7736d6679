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

struct model_version {
    std::string m_model{};
    std::string m_version{};
    std::string m_path{};
    std::string m_content{};
    std::string m_manifest{};
    std::string m_digest{};
};

struct weight_store {
    std::deque<model_version> m_versions{};
    std::map<std::string, std::string> m_labels{};
    std::uint64_t m_bytes_sent{};
    std::uint64_t m_requests{};
    time_point m_link_free_at{};
};

struct byte_range {
    std::size_t m_first{};
    std::size_t m_last{};
    bool m_partial{};
    bool m_valid{true};
};

/*! @brief Fills the range `[first, last)` with pseudo-random bytes derived from the seed and the offset. */
auto fill_chunk(std::string& bytes, const std::size_t first, const std::size_t last, const std::uint64_t seed) -> void {
    constexpr auto word_bytes = sizeof(std::uint64_t);
    for (auto offset = first; offset < last; offset += word_bytes) {
        const auto value = mix(seed, offset);
        for (std::size_t index = 0; index < word_bytes && offset + index < last; ++index) {
            bytes[offset + index] = static_cast<char>((value >> (8U * index)) & 0xffU);
        }
    }
}

[[nodiscard]] auto make_manifest(const model_version& version, const std::size_t chunk_bytes) -> std::string {
    boost::json::array chunks{};
    for (std::size_t offset = 0; offset < version.m_content.size(); offset += chunk_bytes) {
        chunks.emplace_back(to_hex(sha256(std::string_view{version.m_content}.substr(offset, chunk_bytes))));
    }
    return boost::json::serialize(boost::json::object{{"model", version.m_model},
                                                      {"version", version.m_version},
                                                      {"size", version.m_content.size()},
                                                      {"chunk_bytes", chunk_bytes},
                                                      {"content", to_hex(sha256(version.m_content))},
                                                      {"chunks", chunks},
                                                      {"source", version.m_path}});
}

[[nodiscard]] auto make_version(const std::string& text, const options& settings) -> model_version {
    std::istringstream fields{text};
    model_version version{};
    std::string size{};
    std::getline(fields, version.m_model, ':');
    std::getline(fields, version.m_version, ':');
    std::getline(fields, size);
    if (version.m_model.empty() || version.m_version.empty() || size.empty()) {
        throw std::invalid_argument{"--versions expects NAME:VERSION:SIZE,..."};
    }
    version.m_path = "/weights/" + version.m_model + "-" + version.m_version;
    version.m_content.resize(std::stoull(size));
    for (std::size_t offset = 0; offset < version.m_content.size(); offset += settings.m_chunk_bytes) {
        const auto shared = offset / settings.m_chunk_bytes < settings.m_shared_chunks;
        const auto seed = stable_hash(shared ? version.m_model : version.m_path);
        fill_chunk(version.m_content, offset, std::min(offset + settings.m_chunk_bytes, version.m_content.size()),
                   seed);
    }
    version.m_manifest = make_manifest(version, settings.m_chunk_bytes);
    version.m_digest = to_hex(sha256(version.m_manifest));
    return version;
}

[[nodiscard]] auto make_store(const options& settings) -> std::shared_ptr<weight_store> {
    auto store = std::make_shared<weight_store>();
    std::istringstream fields{settings.m_versions};
    for (std::string text{}; std::getline(fields, text, ',');) {
        store->m_versions.push_back(make_version(text, settings));
        store->m_labels.emplace(store->m_versions.back().m_model, store->m_versions.back().m_digest);
    }
    return store;
}

[[nodiscard]] auto parse_range(const std::string_view text, const std::size_t size) -> byte_range {
    constexpr std::string_view unit = "bytes=";
    byte_range range{0, size - 1U, false, true};
    if (text.empty()) {
        return range;
    }
    range.m_partial = true;
    const auto hyphen = text.find('-');
    if (!text.starts_with(unit) || hyphen == std::string_view::npos) {
        range.m_valid = false;
        return range;
    }
    const auto* const separator = text.data() + hyphen;
    const auto* const end = text.data() + text.size();
    const auto first = std::from_chars(text.data() + unit.size(), separator, range.m_first);
    if (separator + 1 != end) {
        std::from_chars(separator + 1, end, range.m_last);
    }
    range.m_last = std::min(range.m_last, size - 1U);
    range.m_valid = first.ec == std::errc{} && range.m_first <= range.m_last;
    return range;
}

[[nodiscard]] auto weights_response(const model_version& match, const byte_range& range) -> net::http_response {
    net::http_response response{};
    response.m_headers = {{"Content-Type", "application/octet-stream"}};
    if (!range.m_valid) {
        response.m_status = 416;
        return response;
    }
    response.m_body = match.m_content.substr(range.m_first, range.m_last - range.m_first + 1U);
    if (range.m_partial) {
        response.m_status = 206;
        response.m_headers.push_back({"Content-Range", "bytes " + std::to_string(range.m_first) + "-" +
                                                           std::to_string(range.m_last) + "/" +
                                                           std::to_string(match.m_content.size())});
    }
    return response;
}

/*! @brief Delays a response as if all responses shared one link of the configured bandwidth. */
auto send_rate_limited(net::loop& owner, const options& settings, weight_store& weights, net::http_response response,
                       std::shared_ptr<net::responder> responder) -> void {
    weights.m_bytes_sent += response.m_body.size();
    if (settings.m_bytes_per_second <= 0.0) {
        return responder->respond(std::move(response));
    }
    const auto seconds =
        std::chrono::duration<double>{static_cast<double>(response.m_body.size()) / settings.m_bytes_per_second};
    const auto now = steady_now();
    weights.m_link_free_at = std::max(weights.m_link_free_at, now) + std::chrono::duration_cast<duration>(seconds);
    owner.after(weights.m_link_free_at - now,
                [responder = std::move(responder), response = std::move(response)] { responder->respond(response); });
}

[[nodiscard]] auto versions_json(const weight_store& weights) -> boost::json::object {
    boost::json::array rows{};
    for (const auto& version : weights.m_versions) {
        rows.push_back({{"model", version.m_model}, {"version", version.m_version}, {"manifest", version.m_digest}});
    }
    return {{"versions", rows}};
}

[[nodiscard]] auto handle_label(weight_store& weights, const std::string& name, const net::http_request& request)
    -> net::http_response {
    if (request.m_method == "POST") {
        weights.m_labels[name] = string_member(parse_object(request.m_body), "manifest");
    }
    const auto match = weights.m_labels.find(name);
    return match == weights.m_labels.end() ? json_response(404, boost::json::object{})
                                           : json_response(200, boost::json::object{{"manifest", match->second}});
}

[[nodiscard]] auto find_version(const weight_store& weights, const std::string_view target) -> const model_version* {
    const auto match =
        std::find_if(weights.m_versions.begin(), weights.m_versions.end(), [target](const model_version& candidate) {
            return target == candidate.m_path || target == "/manifests/" + candidate.m_digest;
        });
    return match == weights.m_versions.end() ? nullptr : &*match;
}

} // namespace internal

auto make_origin(net::loop& owner, const options& settings) -> net::http_handler {
    const auto weights = internal::make_store(settings);
    return [&owner, settings, weights](const net::http_request& request,
                                       const std::shared_ptr<net::responder>& responder) {
        constexpr std::string_view labels = "/labels/";
        ++weights->m_requests;
        if (request.m_target == "/counts") {
            return responder->respond(json_response(
                200, boost::json::object{{"bytes", weights->m_bytes_sent}, {"requests", weights->m_requests}}));
        }
        if (request.m_target == "/versions") {
            return responder->respond(json_response(200, internal::versions_json(*weights)));
        }
        if (request.m_target.starts_with(labels)) {
            return responder->respond(
                internal::handle_label(*weights, request.m_target.substr(labels.size()), request));
        }
        const auto* match = internal::find_version(*weights, request.m_target);
        if (match == nullptr) {
            return responder->respond(json_response(404, boost::json::object{{"error", "no such path"}}));
        }
        if (request.m_target != match->m_path) {
            return responder->respond(
                {.m_status = 200, .m_headers = {{"Content-Type", "application/json"}}, .m_body = match->m_manifest});
        }
        const auto range = internal::parse_range(net::find(request.m_headers, "Range"), match->m_content.size());
        internal::send_rate_limited(owner, settings, *weights, internal::weights_response(*match, range), responder);
    };
}

} // namespace rhubarbwharf::standin
