#include <cstdlib>

#include "rattandock/core/home_token.hpp"

/// An id has one spelling: what parses is formatted to the same text.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace rattandock;
    const JobId id{std::string{reinterpret_cast<const char *>(data), size}};
    const auto parsed = core::parseHomeJobId(id);
    if (parsed && format(parsed->token) + '/' + parsed->key != id.value()) {
        std::abort();
    }
    return 0;
}
