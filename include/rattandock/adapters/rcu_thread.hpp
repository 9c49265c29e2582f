#pragma once

namespace rattandock::adapters {

/// A read section of the calling thread, which is registered at its first one. Must end on the
/// thread where it began, before the fiber is suspended.
class RcuReadSection
{
public:
    RcuReadSection();
    RcuReadSection(const RcuReadSection &) = delete;
    RcuReadSection &operator=(const RcuReadSection &) = delete;
    ~RcuReadSection();
};

/// Blocks until every read section that has begun has ended.
/// Precondition: the calling thread is in none.
void waitForRcuReaders();

} // namespace rattandock::adapters
