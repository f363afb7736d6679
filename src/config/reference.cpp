#include <rhubarbwharf/config/load.hpp>

#include <sstream>
#include <type_traits>

#include <config/form.hpp>
#include <config/node_schema.hpp>

namespace rhubarbwharf::config {

namespace internal {

namespace {

/*! @brief Writes one row a key. */
class writer {
public:
    writer(std::ostringstream& page, std::string path) : m_page{page}, m_path{std::move(path)} {}

    template <typename Value>
    auto field(const std::string_view name, const Value& value, const rule& rules) -> void {
        m_page << "| `" << m_path << name << "` | " << default_of(value, rules) << " | " << allowed_of(value, rules)
               << " | " << rules.m_meaning << " |\n";
    }

    template <typename Group>
    auto group(const std::string_view name, Group& values, const rule& rules) -> void {
        open(std::string{name}, "an object", rules);
        writer inner{m_page, m_path + std::string{name} + '.'};
        visit(inner, values);
    }

    template <typename Row>
    auto list(const std::string_view name, const std::vector<Row>&, const rule& rules) -> void {
        open(std::string{name}, "a list of objects", rules);
        writer inner{m_page, m_path + std::string{name} + "[]."};
        Row row{};
        visit(inner, row);
    }

private:
    auto open(const std::string& name, const std::string_view type, const rule& rules) -> void {
        m_page << "| `" << m_path << name << "` | " << (rules.m_required ? "required" : "") << " | " << type << " | "
               << rules.m_meaning << " |\n";
    }

    template <typename Value>
    [[nodiscard]] static auto default_of(const Value& value, const rule& rules) -> std::string {
        if (rules.m_required) {
            return "required";
        }
        if constexpr (std::is_same_v<Value, bool>) {
            return value ? "`true`" : "`false`";
        } else if constexpr (std::is_arithmetic_v<Value>) {
            return '`' + number_text(static_cast<double>(value)) + '`';
        } else if constexpr (std::is_same_v<Value, std::string>) {
            return value.empty() ? std::string{"none"} : '`' + value + '`';
        } else {
            return "none";
        }
    }

    template <typename Value>
    [[nodiscard]] static auto allowed_of(const Value&, const rule& rules) -> std::string {
        if constexpr (std::is_same_v<Value, bool>) {
            return "`true` or `false`";
        } else if constexpr (std::is_arithmetic_v<Value>) {
            return allowed(rules);
        } else if constexpr (std::is_same_v<Value, digest>) {
            return "64 hexadecimal digits";
        } else if constexpr (std::is_same_v<Value, std::vector<std::string>>) {
            return "list of: " + std::string{allowed(rules.m_form)};
        } else {
            return std::string{allowed(rules.m_form)};
        }
    }

    std::ostringstream& m_page;
    std::string m_path;
};

} // namespace

} // namespace internal

auto reference() -> std::string {
    std::ostringstream page{};
    page << "# Settings\n\n"
            "One file a daemon: JSON with comments and trailing commas. `rhubarbwharf check-config FILE` checks it as\n"
            "the daemon does at its start; a fault names file, line, key, value and what is allowed. Unknown keys are\n"
            "faults. `rhubarbwharf reference` writes this page; a test keeps both alike.\n\n"
            "| key | default | allowed | meaning |\n|---|---|---|---|\n";
    internal::writer rows{page, {}};
    settings values{};
    internal::visit(rows, values);
    page << "\n## Gateways and loaders\n\n"
            "Settings of the roles that run beside a platform's own store. Names a placeholder may fill stand in\n"
            "`deploy/gateway.json` and `deploy/loader.json`.\n\n"
            "| key | default | allowed | meaning |\n|---|---|---|---|\n";
    node_settings node{};
    internal::visit(rows, node);
    return page.str();
}

} // namespace rhubarbwharf::config
