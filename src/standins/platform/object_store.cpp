#include "standins/platform/object_store.hpp"

#include <utility>

namespace rattandock::standins {

bool ObjectStore::put(const std::string &name, std::string body)
{
    const auto it = m_objects.find(name);
    const std::uint64_t old = it == m_objects.end() ? 0 : name.size() + it->second.size();
    const std::uint64_t bytes = m_bytes - old + name.size() + body.size();
    if (bytes > m_maxBytes) {
        return false;
    }
    m_bytes = bytes;
    m_objects.insert_or_assign(name, std::move(body));
    return true;
}

const std::string *ObjectStore::find(const std::string &name) const
{
    const auto it = m_objects.find(name);
    return it == m_objects.end() ? nullptr : &it->second;
}

} // namespace rattandock::standins
