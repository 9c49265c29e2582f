#pragma once

#include <string>
#include <string_view>

#include "rattandock/adapters/settings.hpp"

namespace rattandock::adapters {

/// Parts of the daemon; each line starts with the part's prefix.
enum class LogPart : std::uint8_t { Caller, Dispatch, Upstream, Peer, Platform, Config, Daemon };

/// Sends log lines to standard output through a bounded buffer and a thread of its own. When the
/// buffer is full, lines are dropped and their number is logged later, so that no caller of log()
/// waits for standard output. Call once, after signals are blocked, because it
/// starts a thread.
void setUpLog(LogLevel level);

/// Writes what is buffered and ends the logging thread; later lines are dropped.
void shutDownLog();

/// `PREFIX: SENTENCE` and, unless the job is empty, ` job=ID`. Control characters are shown as
/// `?`, so that one event is always one line.
std::string formatLogLine(LogPart part, std::string_view sentence, std::string_view job);

/// Writes formatLogLine() after the time and the level.
/// Thread safety: may be called from any thread.
void log(LogLevel level, LogPart part, std::string_view sentence, std::string_view job = {});

/// False if lines of this level are dropped; lets callers skip building them.
bool isLogged(LogLevel level);

} // namespace rattandock::adapters
