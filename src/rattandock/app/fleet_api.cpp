#include "rattandock/app/fleet_api.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "rattandock/adapters/log.hpp"
#include "rattandock/app/configuration_json.hpp"
#include "rattandock/base/overloaded.hpp"

namespace rattandock::app {

namespace json = boost::json;
using adapters::HttpRequest;
using adapters::HttpResponse;
using adapters::LogLevel;
using adapters::LogPart;

namespace {

/// A VM that finds no upstreams is ready after this time all the same: it then gives refusals with
/// a time to come back, which is better for callers than no answer.
constexpr Duration readyWithoutUpstreams = std::chrono::seconds{6};

/// The history of decisions and the logs keep ids after their jobs.
constexpr std::size_t maxJobIdBytes = 64;

/// Queues that are written before other fibers get a turn. All of 10,000 at once would delay starts
/// and answers on a VM with a small share of a core.
constexpr std::size_t queuesPerTurn = 100;

HttpResponse reply(unsigned status, const json::object &object)
{
    return {status, json::serialize(object) + '\n', {}};
}

std::string_view hostOf(const HttpRequest &request)
{
    const std::string_view host = request.header("Host");
    return host.substr(0, host.find(':'));
}

std::string_view counterOf(const fleet::JobEnd &end)
{
    return std::visit(Overloaded{[](const fleet::JobCompleted &) { return "completed"; },
                                 [](const fleet::JobFailed &) { return "failed"; },
                                 [](const fleet::JobTurnedAway &) { return "turned-away"; },
                                 [](const fleet::JobBrokenOff &) { return "broken-off"; }},
                      end);
}

} // namespace

FleetApi::FleetApi(FleetLoop &loop, const EventHistory &history, adapters::Metrics &metrics,
                   CallerFormat format, VmId vm, Duration callerWait)
    : m_loop(loop)
    , m_history(history)
    , m_metrics(metrics)
    , m_format(std::move(format))
    , m_vm(std::move(vm))
    , m_callerWait(callerWait)
    , m_startedAt(loop.now())
{
}

void FleetApi::configure(fleet::FleetConfig config)
{
    if (m_config && config.version <= m_config->version) {
        return;
    }
    log(LogLevel::Info, LogPart::Config,
        "configuration in force version=" + std::to_string(config.version.value())
                + " queues=" + std::to_string(config.queues.size())
                + " previous=" + std::to_string(m_config ? m_config->version.value() : 0));
    m_metrics.count("configuration_in_force", "accepted");
    m_config = std::make_shared<const fleet::FleetConfig>(std::move(config));
}

HttpResponse FleetApi::serveCaller(const HttpRequest &request)
{
    if (!m_config) {
        return m_format.encodeNoConfiguration();
    }
    const fleet::QueueSpec *const queue = m_config->queueFor(hostOf(request), request.path);
    if (queue == nullptr) {
        return m_format.encodeUnknownQueue();
    }
    const std::string id = request.path.substr(queue->pathPrefix.size());
    if (request.method == "POST" && !id.empty()) {
        return submit(request, *queue, JobId{id});
    }
    if (request.method == "GET" && id.empty()) {
        return m_format.encodeWaiting(m_loop.dispatcher().status().jobs);
    }
    if (request.method == "DELETE" && m_loop.cancel(JobId{id})) {
        return m_format.encodeCancelled();
    }
    if (request.method == "GET" || request.method == "DELETE") {
        // Jobs are answered when they end and are not kept after it.
        return m_format.encodeUnknownJob();
    }
    return reply(405, {{"error", "method-not-allowed"}});
}

HttpResponse FleetApi::submit(const HttpRequest &request, const fleet::QueueSpec &queue,
                              const JobId &id)
{
    if (id.value().size() > maxJobIdBytes) {
        Findings findings;
        findings.add("id", "must have at most " + std::to_string(maxJobIdBytes) + " bytes");
        m_metrics.count("bad_requests", "bad-job");
        return m_format.encodeBadSubmission(findings);
    }
    const auto submission = m_format.decodeSubmission(id, request.body);
    if (!submission) {
        m_metrics.count("bad_requests", "bad-job");
        log(LogLevel::Info, LogPart::Caller,
            "job refused reason=bad-job (" + describe(submission.error()) + ')', id.value());
        return m_format.encodeBadSubmission(submission.error());
    }
    if (request.releaseBody) {
        request.releaseBody();
    }
    const Duration wait = m_format.callerWaitOf(request, m_callerWait);
    auto job = fleet::toFleetJob(submission.value(), queue, wait);
    if (const auto *const unsupported = std::get_if<fleet::Unsupported>(&job)) {
        m_metrics.count("jobs_unsupported", name(*unsupported));
        log(LogLevel::Info, LogPart::Caller,
            "job refused reason=unsupported-" + std::string{name(*unsupported)}, id.value());
        return m_format.encodeUnsupported(*unsupported);
    }
    const auto end = m_loop.submit(std::move(std::get<fleet::FleetJob>(job)), request.watchClose);
    if (!end) {
        m_metrics.count("fleet_answers", "caller-left");
        HttpResponse none;
        none.resetConnection = true;
        return none;
    }
    m_metrics.count("fleet_answers", counterOf(*end));
    return m_format.encodeJobEnd(*end);
}

bool FleetApi::isReady() const
{
    return !m_isDraining && m_config
           && (m_loop.dispatcher().canAcceptJobs()
               || m_loop.now() - m_startedAt >= readyWithoutUpstreams);
}

HttpResponse FleetApi::serveOperator(const HttpRequest &request)
{
    static const std::string explainPath = "/v1/explain/";
    if (request.method != "GET") {
        return reply(404, {{"error", "unknown-route"}});
    }
    if (request.path == "/readyz") {
        const bool ready = isReady();
        return reply(ready ? 200 : 503, {{"ready", ready}});
    }
    if (request.path == "/livez") {
        return reply(200, {{"live", true}});
    }
    if (request.path == "/metrics") {
        return metrics();
    }
    if (request.path == "/v1/status") {
        return status();
    }
    if (request.path == "/v1/configuration") {
        return configuration();
    }
    if (request.path.starts_with(explainPath)) {
        const auto id = adapters::percentDecodeStrictly(request.path.substr(explainPath.size()));
        return id ? explain(JobId{*id}) : reply(400, {{"error", "bad-escape"}});
    }
    return reply(404, {{"error", "unknown-route"}});
}

HttpResponse FleetApi::metrics()
{
    const fleet::FleetStatus status = m_loop.dispatcher().status();
    m_metrics.set("queued_tasks", static_cast<double>(status.waitingTasks));
    m_metrics.set("running_tasks", static_cast<double>(status.runs));
    m_metrics.set("records", static_cast<double>(status.jobs));
    m_metrics.set("kept_upstreams", static_cast<double>(status.keptUpstreams));
    m_metrics.set("linked_vms", static_cast<double>(status.linkedVms));
    m_metrics.set("evacuated_zones", static_cast<double>(status.evacuations.size()));
    m_metrics.set("limited_upstreams", static_cast<double>(status.limitedUpstreams));
    m_metrics.set("resident_memory_bytes", static_cast<double>(adapters::residentBytes()));
    HttpResponse response{200, m_metrics.text(), {}};
    response.contentType = "text/plain; version=0.0.4";
    return response;
}

HttpResponse FleetApi::status() const
{
    const fleet::FleetStatus status = m_loop.dispatcher().status();
    const TimePoint now = m_loop.now();
    json::array evacuations;
    for (const fleet::EvacuationStatus &it : status.evacuations) {
        evacuations.push_back(
                json::object{{"zone", it.zone.value()}, {"forMs", toMilliseconds(now - it.since)}});
    }
    json::value evacuationAge;
    if (status.evacuationsAsOf) {
        evacuationAge = toMilliseconds(now - *status.evacuationsAsOf);
    }
    json::array decisions;
    for (const DecisionCount &it : m_history.counts()) {
        decisions.push_back(
                json::object{{"decision", it.event}, {"reason", it.reason}, {"count", it.count}});
    }
    return reply(200, {{"vm", m_vm.value()},
                       {"draining", status.stopping},
                       {"configurationVersion", m_config ? m_config->version.value() : 0},
                       {"jobs", status.jobs},
                       {"queuedTasks", status.waitingTasks},
                       {"runningTasks", status.runs},
                       {"keptUpstreams", status.keptUpstreams},
                       {"knownUpstreams", status.knownUpstreams},
                       {"linkedVms", status.linkedVms},
                       {"evacuations", std::move(evacuations)},
                       {"evacuationAgeMs", std::move(evacuationAge)},
                       {"decisions", std::move(decisions)}});
}

HttpResponse FleetApi::configuration()
{
    if (m_isWritingConfiguration) {
        return {503, "{\"error\":\"busy\"}\n", {{"Retry-After", "1"}}};
    }
    // The fiber is suspended below, and meanwhile another configuration can come into force.
    const auto config = m_config;
    if (!config) {
        return reply(404, {{"error", "no-configuration"}});
    }
    ConfigurationWriter writer{config->version};
    m_isWritingConfiguration = true;
    std::size_t n = 0;
    for (const fleet::QueueSpec &it : config->queues) {
        if (++n % queuesPerTurn == 0) {
            boost::this_fiber::yield();
        }
        writer.add(it);
    }
    m_isWritingConfiguration = false;
    return {200, writer.finish(), {}};
}

HttpResponse FleetApi::explain(const JobId &id) const
{
    const std::vector<HistoryEntry> entries = m_history.about(id);
    if (entries.empty()) {
        return reply(404, {{"error", "unknown-job"}});
    }
    json::array events;
    for (const HistoryEntry &it : entries) {
        events.push_back(json::object{{"afterMs", toMilliseconds(it.time - entries.front().time)},
                                      {"event", it.event},
                                      {"reason", it.reason},
                                      {"detail", it.detail}});
    }
    return reply(200, {{"id", id.value()}, {"events", std::move(events)}});
}

} // namespace rattandock::app
