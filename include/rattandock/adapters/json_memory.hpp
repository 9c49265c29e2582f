#pragma once

#include <boost/json/memory_resource.hpp>
#include <cstddef>

namespace rattandock::adapters {

/// Memory for a parsed JSON text, with a bound: a text of many small values takes a multiple of its
/// size. Allocations beyond the bound throw `std::bad_alloc`.
/// Thread safety: none.
class JsonMemory final : public boost::json::memory_resource
{
public:
    explicit JsonMemory(std::size_t maxBytes)
        : m_left(maxBytes)
    {
    }

private:
    void *do_allocate(std::size_t bytes, std::size_t alignment) override;
    void do_deallocate(void *data, std::size_t bytes, std::size_t alignment) override;
    bool do_is_equal(const memory_resource &other) const noexcept override
    {
        return this == &other;
    }

    std::size_t m_left;
};

} // namespace rattandock::adapters
