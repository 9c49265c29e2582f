#pragma once

namespace rattandock::app {

/// Exit codes of all programs.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
inline constexpr int exitUsage = 2;
inline constexpr int exitSettings = 3;
inline constexpr int exitUnreachable = 4;

} // namespace rattandock::app
