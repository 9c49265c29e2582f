#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace rattandock::standins {

/// Named byte strings within a bound. Thread safety: none; one thread at a time.
class ObjectStore
{
public:
    explicit ObjectStore(std::uint64_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /// Replaces the object. False, and unchanged, if the store would exceed its bound.
    bool put(const std::string &name, std::string body);
    /// Null if there is none of that name.
    const std::string *find(const std::string &name) const;

private:
    const std::uint64_t m_maxBytes;
    std::uint64_t m_bytes = 0;
    std::map<std::string, std::string> m_objects;
};

} // namespace rattandock::standins
