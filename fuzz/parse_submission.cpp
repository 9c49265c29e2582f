#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/configuration_codec.hpp"
#include "platform/directory_codec.hpp"
#include "platform/submission_codec.hpp"

using namespace rattandock;

/// Feeds the parsers of what callers, runners and operators write on the platform.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char *>(data), size};
    static_cast<void>(platform::decodeSubmission(JobId{"id"}, text));
    platform::decodeUpstream("i-1", text);
    platform::decodeConfiguration(text);
    return 0;
}
