#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "rattandock/base/result.hpp"
#include "rattandock/base/time.hpp"
#include "standins/upstream/upstream_settings.hpp"

namespace rattandock::load {

using boost::asio::ip::tcp;

/// A log-uniform range.
struct Range
{
    double min = 1.0;
    double max = 1.0;
};

struct CancelWave
{
    Duration at{};
    /// Share of the unanswered jobs that are cancelled.
    double share = 0.0;
};

/// A body for `POST /faults` on some upstreams, at a time of the run.
struct ScriptedFault
{
    Duration at{};
    std::size_t firstUpstream = 0;
    std::size_t count = 1;
    std::string body;
};

/// One load experiment; scenarios/ holds examples with comments.
struct Scenario
{
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds{10};
    std::vector<tcp::endpoint> entries;
    /// Added on each way between caller and entry VM.
    Duration callerDelay{};
    /// Of the Poisson arrivals.
    double jobsPerSecond = 10.0;
    Duration burstEvery{};
    std::size_t burstJobs = 0;
    Range tasksPerJob;
    Range estimateMs{50.0, 1000.0};
    double longShare = 0.0;
    Range longMs{2000.0, 5000.0};
    Duration deadline = std::chrono::seconds{20};
    std::vector<std::string> teams{"team"};
    /// Share of jobs that are submitted again while the first submission is not answered.
    double resubmitShare = 0.0;
    Duration resubmitAfter = std::chrono::milliseconds{200};
    /// Submits each id again after the last arrival.
    bool resubmitAll = false;
    /// Share of jobs of one task that go to an upstream without a daemon, for comparison.
    double directShare = 0.0;
    /// Idle connections that are held to the entries, in turn.
    std::size_t idleConnections = 0;
    /// Submissions without an answer are expected, as when a daemon is killed.
    bool lostAnswersExpected = false;
    std::vector<CancelWave> cancelWaves;
    std::vector<ScriptedFault> faults;
    standins::UpstreamStandinSettings upstreams;
};

/// Reads a scenario in JSON with comments. Errors: every finding with the file and its JSON path.
Checked<Scenario> parseScenario(std::string_view text, const std::string &file);

} // namespace rattandock::load
