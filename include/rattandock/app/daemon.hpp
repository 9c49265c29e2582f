#pragma once

#include <memory>

#include "rattandock/adapters/settings.hpp"
#include "rattandock/base/result.hpp"

namespace rattandock::app {

/// One entry VM's daemon: listeners, decision thread and upstream connections.
/// Thread safety: all methods may be called from any thread outside the daemon's own.
class Daemon
{
public:
    /// Binds the listeners and starts all threads. Errors: those of bind, with the address.
    static Checked<std::unique_ptr<Daemon>> start(const adapters::Settings &settings);

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    ~Daemon();

    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;
    /// Precondition: the settings have a peerAddress.
    std::uint16_t peerPort() const;

    /// Reads the files of peerTls again, for new connections. The old certificates stay in force if
    /// there is a finding. Precondition: the settings have peerTls.
    Findings reloadPeerTls();

    /// Begins the planned stop: not ready, no new jobs, and each answer ends its connection.
    void drain();
    /// True once the planned stop is done or its limit has passed.
    bool isDrained() const;
    /// Closes listeners and ends all threads.
    void stop();

private:
    struct Parts;
    explicit Daemon(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> m_parts;
};

} // namespace rattandock::app
