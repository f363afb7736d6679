#include <cstddef>
#include <cstdint>

#include "targets.hpp"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* bytes, const std::size_t size) -> int {
    const std::string_view input{reinterpret_cast<const char*>(bytes), size};
    for (const auto& each : rhubarbwharf::fuzz::targets()) {
        if (each.m_name == RHUBARBWHARF_FUZZ_TARGET) {
            each.m_run(input);
        }
    }
    return 0;
}
