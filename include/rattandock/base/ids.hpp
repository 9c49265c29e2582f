#pragma once

#include <cstdint>
#include <string>

#include "rattandock/base/strong_value.hpp"

namespace rattandock {

/// The id that a caller gives a job: `TOKEN/KEY` or an opaque key.
using JobId = StrongValue<struct JobIdTag, std::string>;
/// Position of a task in its job, from 0.
using TaskIndex = StrongValue<struct TaskIndexTag, std::uint32_t>;
/// One request to an upstream; never reused by a process.
using AttemptId = StrongValue<struct AttemptIdTag, std::uint64_t>;
/// One waiting caller request; never reused by a process.
using CallerRequestId = StrongValue<struct CallerRequestIdTag, std::uint64_t>;
using TeamId = StrongValue<struct TeamIdTag, std::string>;
using UpstreamId = StrongValue<struct UpstreamIdTag, std::string>;
using RackId = StrongValue<struct RackIdTag, std::string>;
using ZoneId = StrongValue<struct ZoneIdTag, std::string>;
using VmId = StrongValue<struct VmIdTag, std::string>;
/// One run of a daemon; random, so that it is never reused.
using Incarnation = StrongValue<struct IncarnationTag, std::uint64_t>;
/// Version of the configuration; it only grows.
using ConfigurationVersion = StrongValue<struct ConfigurationVersionTag, std::uint64_t>;

} // namespace rattandock
