#pragma once

#include <csignal>

namespace rattandock::standins {

/// SIGTERM and SIGINT, blocked in this thread and in those that it starts later.
/// Construct before any thread starts, so that only wait() takes the signals.
class StopSignals
{
public:
    StopSignals()
    {
        sigemptyset(&m_set);
        sigaddset(&m_set, SIGTERM);
        sigaddset(&m_set, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_set, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    /// Returns when one of them arrives.
    void wait() const
    {
        int signal = 0;
        sigwait(&m_set, &signal);
    }

private:
    sigset_t m_set{};
};

} // namespace rattandock::standins
