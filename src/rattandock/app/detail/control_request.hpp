#pragma once

#include <cstdint>
#include <cxxopts.hpp>
#include <string>

#include "rattandock/adapters/http_message.hpp"

namespace rattandock::app {

/// The command line or a file that it names cannot be used.
struct UsageError
{
    std::string message;
};

/// The daemon gave no answer.
struct Unreachable
{
    std::string message;
};

/// The daemon answered, but not with what was asked for.
struct OperationFailed
{
    std::string message;
};

/// Sends one request to the listener (`caller` or `operator`) that the option of this name states.
/// The request ends after `--timeout-ms` plus `extraMs`.
/// Errors: throws UsageError for a wrong option, Unreachable if there is no answer.
adapters::HttpResponse askDaemon(const cxxopts::ParseResult &options, const std::string &listener,
                                 const std::string &method, const std::string &path,
                                 std::string body = {}, std::int64_t extraMs = 0);

} // namespace rattandock::app
