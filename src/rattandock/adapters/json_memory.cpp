#include "rattandock/adapters/json_memory.hpp"

#include <new>

namespace rattandock::adapters {

void *JsonMemory::do_allocate(std::size_t bytes, std::size_t alignment)
{
    if (bytes > m_left) {
        throw std::bad_alloc{};
    }
    void *const data = ::operator new (bytes, std::align_val_t{alignment});
    m_left -= bytes;
    return data;
}

void JsonMemory::do_deallocate(void *data, std::size_t bytes, std::size_t alignment)
{
    ::operator delete (data, std::align_val_t{alignment});
    m_left += bytes;
}

} // namespace rattandock::adapters
