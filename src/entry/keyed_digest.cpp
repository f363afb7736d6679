#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

auto keyed_digest(const daemon& self, const std::string_view organisation, const std::string_view content)
    -> std::uint64_t {
    const auto key = as_bytes(self.m_quarantine_key);
    const auto inner = sha256(std::string{key} + std::to_string(organisation.size()) + ':' + std::string{organisation} +
                              std::string{content});
    const auto outer = sha256(std::string{key} + std::string{as_bytes(inner)});
    return static_cast<std::uint64_t>(std::hash<digest>{}(outer));
}

} // namespace rhubarbwharf::entry
