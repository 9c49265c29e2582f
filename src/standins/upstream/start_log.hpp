#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"

namespace rattandock::standins {

/// Appends one line per started task: `MICROSECONDS UPSTREAM ID#INDEX ATTEMPT`, with the time since
/// the epoch and the id percent-encoded as in the request.
///
/// Each line is one write() to the kernel before the task runs, so it outlives any process.
/// Thread safety: all methods may be called from any thread.
class StartLog
{
public:
    /// Writes nothing.
    StartLog() = default;
    /// Opens the file for appending. Errors: those of open().
    static IoResult<StartLog> open(const std::string &file);

    StartLog(StartLog &&other) noexcept;
    StartLog &operator=(StartLog &&other) noexcept;
    StartLog(const StartLog &) = delete;
    StartLog &operator=(const StartLog &) = delete;
    ~StartLog();

    /// False if the line could not be written; the task must not start then.
    bool add(std::string_view upstream, std::string_view task, std::string_view attempt) const;

private:
    int m_file = -1;
};

/// Microseconds of the system clock since the epoch.
std::int64_t microsecondsSinceEpoch();

} // namespace rattandock::standins
