#pragma once

#include <atomic>
#include <memory>
#include <utility>

#include "rattandock/adapters/rcu_thread.hpp"

namespace rattandock::adapters {

/// An immutable value that many threads read without a lock while it is replaced now and then.
template <typename Value>
class RcuSnapshot
{
public:
    explicit RcuSnapshot(std::unique_ptr<const Value> first)
        : m_current(first.release())
    {
    }
    RcuSnapshot(const RcuSnapshot &) = delete;
    RcuSnapshot &operator=(const RcuSnapshot &) = delete;
    /// Precondition: no thread reads or publishes any more.
    ~RcuSnapshot() { delete m_current.load(); }

    /// Calls the function with the current value, which may be freed once it has returned.
    /// The function must not suspend its fiber: another fiber would then run inside the read
    /// section. Thread safety: from any thread.
    template <typename Function>
    auto read(Function &&function) const
    {
        const RcuReadSection section;
        return std::forward<Function>(function)(*m_current.load(std::memory_order_acquire));
    }

    /// Replaces the value, then blocks until no thread reads the old one.
    /// Precondition: not called within read(). Thread safety: from any thread.
    void publish(std::unique_ptr<const Value> next)
    {
        const std::unique_ptr<const Value> old{
                m_current.exchange(next.release(), std::memory_order_acq_rel)};
        waitForRcuReaders();
    }

private:
    std::atomic<const Value *> m_current;
};

} // namespace rattandock::adapters
