#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::standins {

/// Shares of orders that misbehave.
struct RunnerFaults
{
    /// Carried out, but the connection ends without an answer.
    double answerLost = 0;
    /// Gets no answer and is carried out 2 to 12 s later.
    double late = 0;
    /// Runs that fail.
    double failed = 0;
};

/// What all runners share: who runs what, for the promises that span runners.
class RunWatch
{
public:
    /// A task begins in a zone; returns false, and counts a breach, if it runs elsewhere.
    bool begin(const std::string &task, const std::string &zone = {});
    void end(const std::string &task);
    void overRoom() { ++m_overRoom; }
    /// All attempts to hand this job in were refused, so none of its tasks may start any more.
    void refused(const std::string &job) { m_refused.insert(job); }

    /// From this limit on, until withdrawn, no task may start in the zone.
    void evacuate(const std::string &zone, Duration limit);
    void withdraw(const std::string &zone) { m_evacuated.erase(zone); }

    std::size_t starts() const { return m_starts; }
    std::size_t startsInEvacuatedZones() const { return m_inEvacuatedZones; }
    std::size_t doubleRuns() const { return m_doubleRuns; }
    std::size_t startsOverRoom() const { return m_overRoom; }
    std::size_t startsAfterRefusal() const { return m_afterRefusal; }

private:
    std::map<std::string, int> m_active;
    std::set<std::string> m_refused;
    /// Milliseconds of the steady clock from which a start is a breach.
    std::map<std::string, std::int64_t> m_evacuated;
    std::size_t m_inEvacuatedZones = 0;
    std::size_t m_starts = 0;
    std::size_t m_doubleRuns = 0;
    std::size_t m_overRoom = 0;
    std::size_t m_afterRefusal = 0;
};

/// One runner of the platform: starts, stops and lists runs under leases and fencing tokens.
/// Thread safety: all methods are called on one I/O thread.
class StandinRunner
{
public:
    /// Precondition: the watch outlives the runner.
    StandinRunner(std::string id, std::uint32_t milliCores, RunnerFaults faults, RunWatch &watch,
                  std::uint64_t seed, std::string zone = {});

    rattandock::adapters::HttpResponse serve(const rattandock::adapters::HttpRequest &request);
    /// Ends runs whose time or lease is over. Call every few milliseconds.
    void step();

    const std::string &id() const { return m_id; }
    /// The row that it writes into the store.
    std::string row(const std::string &service, const std::string &zone, std::uint16_t port) const;

private:
    struct Run
    {
        std::uint32_t milliCores = 0;
        std::int64_t endsAt = 0;
        bool fails = false;
    };
    using Key = std::pair<std::string, std::int64_t>;
    struct Ended
    {
        std::int64_t position = 0;
        Key key;
        std::string how;
    };

    rattandock::adapters::HttpResponse start(const std::string &body);
    rattandock::adapters::HttpResponse stop(const std::string &body);
    rattandock::adapters::HttpResponse look(const std::string &body);
    rattandock::adapters::HttpResponse reply(unsigned status, const std::string &reason = {}) const;
    bool isFenced(std::int64_t token);
    void end(const Key &key, const std::string &how);
    std::int64_t now() const;
    double chance();

    std::string m_id;
    std::string m_zone;
    std::uint32_t m_milliCores;
    RunnerFaults m_faults;
    RunWatch &m_watch;
    std::mt19937_64 m_random;
    std::int64_t m_born;
    std::int64_t m_token = 0;
    std::int64_t m_leaseUntil = 0;
    std::map<Key, Run> m_runs;
    std::vector<Ended> m_ended;
    std::int64_t m_nextEnd = 1;
    std::map<std::string, std::int64_t> m_highestEnded;
};

} // namespace rattandock::standins
