#include "standins/fleet/standin_runner.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "platform/json_fields.hpp"
#include "rattandock/adapters/io_threads.hpp"

namespace rattandock::standins {

namespace json = boost::json;
using rattandock::adapters::HttpRequest;
using rattandock::adapters::HttpResponse;
using rattandock::platform::JsonFields;
using rattandock::platform::parseObject;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t longestLease = 1000;
constexpr std::int64_t longestWait = 2000;
constexpr auto waitStep = milliseconds{1};

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

} // namespace

void RunWatch::evacuate(const std::string &zone, Duration limit)
{
    m_evacuated[zone] = steadyMs() + toMilliseconds(limit);
}

bool RunWatch::begin(const std::string &task, const std::string &zone)
{
    ++m_starts;
    if (const auto it = m_evacuated.find(zone);
        it != m_evacuated.end() && steadyMs() > it->second) {
        ++m_inEvacuatedZones;
    }
    if (m_refused.contains(task.substr(0, task.find('.')))) {
        ++m_afterRefusal;
    }
    if (++m_active[task] > 1) {
        ++m_doubleRuns;
        return false;
    }
    return true;
}

void RunWatch::end(const std::string &task)
{
    const auto it = m_active.find(task);
    if (it != m_active.end() && --it->second == 0) {
        m_active.erase(it);
    }
}

StandinRunner::StandinRunner(std::string id, std::uint32_t milliCores, RunnerFaults faults,
                             RunWatch &watch, std::uint64_t seed, std::string zone)
    : m_id(std::move(id))
    , m_zone(std::move(zone))
    , m_milliCores(milliCores)
    , m_faults(faults)
    , m_watch(watch)
    , m_random(seed)
    , m_born(steadyMs())
{
}

std::int64_t StandinRunner::now() const
{
    // Its own clock begins at one second.
    return steadyMs() - m_born + 1000;
}

double StandinRunner::chance()
{
    return std::uniform_real_distribution<double>{0, 1}(m_random);
}

std::string StandinRunner::row(const std::string &service, const std::string &zone,
                               std::uint16_t port) const
{
    return json::serialize(json::object{
            {"service", service},
            {"address", "127.0.0.1:" + std::to_string(port)},
            {"zone", zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity", json::object{{"cpu", m_milliCores}, {"mem_mb", 131072}, {"gpu", 0}}},
            {"labels", json::array{"a", "r1"}},
            {"clock_ms", now()},
            {"sequence", 1}});
}

HttpResponse StandinRunner::reply(unsigned status, const std::string &reason) const
{
    json::object body{{"clock_ms", now()}};
    if (!reason.empty()) {
        body["reason"] = reason;
    }
    return {status, json::serialize(body), {}};
}

HttpResponse StandinRunner::serve(const HttpRequest &request)
{
    if (request.header("Expect-Instance") != m_id) {
        return reply(421);
    }
    const auto carryOut = [this, path = request.path, body = request.body] {
        return path == "/api/run-start"  ? start(body)
               : path == "/api/run-stop" ? stop(body)
               : path == "/api/hold"     ? look(body)
                                         : reply(404);
    };
    const double drawn = chance();
    HttpResponse unanswered;
    unanswered.resetConnection = true;
    if (drawn < m_faults.late) {
        const auto delay = milliseconds{2000 + static_cast<int>(chance() * 10'000)};
        rattandock::adapters::spawnFiber([carryOut, delay] {
            boost::this_fiber::sleep_for(delay);
            carryOut();
        });
        boost::this_fiber::sleep_for(milliseconds{300});
        return unanswered;
    }
    HttpResponse answer = carryOut();
    return drawn < m_faults.late + m_faults.answerLost ? unanswered : answer;
}

bool StandinRunner::isFenced(std::int64_t token)
{
    if (token < m_token) {
        return true;
    }
    m_token = token;
    return false;
}

HttpResponse StandinRunner::start(const std::string &body)
{
    const auto object = parseObject(body).value_or(json::object{});
    JsonFields fields{object};
    const Key key{fields.text("task"), fields.integer("run")};
    const std::int64_t until = fields.integer("deadline_ms");
    const json::object spec = parseObject(fields.text("spec")).value_or(json::object{});
    JsonFields work{spec};
    if (isFenced(fields.integer("fencing_token"))) {
        return reply(409, "fence");
    }
    if (until <= now()) {
        return reply(409, "late");
    }
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, now() + longestLease));
    if (m_runs.contains(key)) {
        return reply(200);
    }
    if (const auto it = m_highestEnded.find(key.first);
        it != m_highestEnded.end() && key.second <= it->second) {
        return reply(409, "old");
    }
    Run run{work.count("cpu"), now() + work.integer("ms"), chance() < m_faults.failed};
    std::uint32_t used = run.milliCores;
    for (const auto &[other, active] : m_runs) {
        used += active.milliCores;
    }
    if (used > m_milliCores) {
        m_watch.overRoom();
    }
    m_watch.begin(key.first, m_zone);
    m_runs[key] = run;
    return reply(200);
}

HttpResponse StandinRunner::stop(const std::string &body)
{
    const auto object = parseObject(body).value_or(json::object{});
    JsonFields fields{object};
    const Key key{fields.text("task"), fields.integer("run")};
    if (isFenced(fields.integer("fencing_token"))) {
        return reply(409, "fence");
    }
    std::int64_t &highest = m_highestEnded[key.first];
    highest = std::max(highest, key.second);
    if (m_runs.contains(key)) {
        end(key, "stopped");
    }
    return reply(200);
}

HttpResponse StandinRunner::look(const std::string &body)
{
    const auto object = parseObject(body).value_or(json::object{});
    JsonFields fields{object};
    if (isFenced(fields.integer("fencing_token"))) {
        return reply(409, "fence");
    }
    const std::int64_t seen = fields.integer("last_seen");
    std::erase_if(m_ended, [seen](const Ended &it) { return it.position <= seen; });
    if (const std::int64_t until = fields.integer("deadline_ms"); until > 0) {
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, now() + longestLease));
    }
    const std::int64_t waitUntil = now() + std::min(fields.integer("wait_ms"), longestWait);
    while (m_ended.empty() && now() < waitUntil) {
        boost::this_fiber::sleep_for(waitStep);
    }
    json::array running;
    for (const auto &[key, run] : m_runs) {
        running.push_back(json::array{key.first, key.second, "", 100, run.milliCores});
    }
    json::array ended;
    for (const Ended &it : m_ended) {
        ended.push_back(json::array{it.position, it.key.first, it.key.second, it.how, ""});
    }
    return {200,
            json::serialize(json::object{{"clock_ms", now()},
                                         {"born", m_born + 1},
                                         {"running", std::move(running)},
                                         {"ended", std::move(ended)}}),
            {}};
}

void StandinRunner::end(const Key &key, const std::string &how)
{
    m_runs.erase(key);
    m_watch.end(key.first);
    std::int64_t &highest = m_highestEnded[key.first];
    highest = std::max(highest, key.second);
    m_ended.push_back({m_nextEnd++, key, how});
}

void StandinRunner::step()
{
    std::vector<std::pair<Key, std::string>> over;
    for (const auto &[key, run] : m_runs) {
        if (now() >= m_leaseUntil) {
            over.emplace_back(key, "lapsed");
        } else if (now() >= run.endsAt) {
            over.emplace_back(key, run.fails ? "failed" : "done");
        }
    }
    for (const auto &[key, how] : over) {
        end(key, how);
    }
}

} // namespace rattandock::standins
