#include "rattandock/base/finding.hpp"

namespace rattandock {

std::string describe(const Findings &findings)
{
    std::string text;
    for (const Finding &it : findings.items()) {
        text += it.place + ": " + it.message + '\n';
    }
    return text;
}

} // namespace rattandock
