#pragma once

#include <string>
#include <string_view>

#include "rattandock/adapters/settings.hpp"

namespace rattandock::adapters {

/// Parts of the daemon; each line starts with the part's prefix.
enum class LogPart : std::uint8_t { Caller, Dispatch, Upstream, Peer, Platform, Config, Daemon };

/// Sends log lines to standard error. Call once, before the first log line.
void setUpLog(LogLevel level);

/// Writes `PREFIX: SENTENCE` and, unless empty, ` job=ID`.
/// Thread safety: may be called from any thread.
void log(LogLevel level, LogPart part, std::string_view sentence, std::string_view job = {});

/// False if lines of this level are dropped; lets callers skip building them.
bool isLogged(LogLevel level);

} // namespace rattandock::adapters
