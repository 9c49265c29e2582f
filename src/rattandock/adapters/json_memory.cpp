#include "rattandock/adapters/json_memory.hpp"

#include <new>

namespace rattandock::adapters {

// The alignment is not passed on, as in Boost.JSON's own resource: some strings are freed with
// another one than they were allocated with, and plain memory is aligned enough for all values.
void *JsonMemory::do_allocate(std::size_t bytes, std::size_t /*alignment*/)
{
    if (bytes > m_left) {
        throw std::bad_alloc{};
    }
    void *const data = ::operator new(bytes);
    m_left -= bytes;
    return data;
}

void JsonMemory::do_deallocate(void *data, std::size_t bytes, std::size_t /*alignment*/)
{
    ::operator delete(data);
    m_left += bytes;
}

} // namespace rattandock::adapters
