#include <cstdlib>

#include "rattandock/adapters/settings.hpp"

/// Settings that parse must name the VM; others must have a finding.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace rattandock;
    const auto settings =
            adapters::parseSettings({reinterpret_cast<const char *>(data), size}, "f");
    const bool isConsistent =
            settings ? !settings.value().dispatcher.vm.value().empty() : !settings.error().empty();
    if (!isConsistent) {
        std::abort();
    }
    return 0;
}
