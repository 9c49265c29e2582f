#include "rattandock/app/operator_api.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <map>

#include "rattandock/app/fiber_question.hpp"

namespace rattandock::app {

namespace json = boost::json;
using adapters::HttpRequest;
using adapters::HttpResponse;

namespace {

HttpResponse reply(unsigned status, const json::object &object)
{
    return {status, json::serialize(object) + '\n', {}};
}

/// The task number and the upstream in a detail such as `task 3 on u1` or `task 3, u1`.
struct TaskDetail
{
    std::string task;
    std::string upstream;
};

std::optional<TaskDetail> taskDetail(const std::string &detail)
{
    static const std::string start = "task ";
    if (!detail.starts_with(start)) {
        return std::nullopt;
    }
    const auto end = detail.find_first_not_of("0123456789", start.size());
    const auto space = detail.rfind(' ');
    TaskDetail found{detail.substr(start.size(), end - start.size()), {}};
    if (end != std::string::npos && space != std::string::npos && space >= end) {
        found.upstream = detail.substr(space + 1);
    }
    return found;
}

/// One row for each placement: where the task went and why, and what it waited for before.
json::array tasksOf(const std::vector<HistoryEntry> &entries)
{
    struct Wait
    {
        TimePoint since;
        std::string reason = "free-slot";
    };
    std::map<std::string, Wait> waits;
    json::array rows;
    for (const HistoryEntry &it : entries) {
        const auto detail = taskDetail(it.detail);
        if (!detail) {
            continue;
        }
        if (it.event == name(core::NoteKind::TaskResent)) {
            waits[detail->task] = {it.time, "retry-backoff after " + it.reason};
        }
        if (it.event == name(core::NoteKind::TaskPlaced)) {
            const Wait wait =
                    waits.contains(detail->task) ? waits[detail->task] : Wait{entries.front().time};
            const auto waited = toMilliseconds(it.time - wait.since);
            rows.push_back(json::object{{"task", detail->task},
                                        {"upstream", detail->upstream},
                                        {"placement", it.reason},
                                        {"waitedMs", waited},
                                        {"waitedFor", waited == 0 ? "nothing" : wait.reason}});
        }
    }
    return rows;
}

} // namespace

OperatorApi::OperatorApi(DecisionLoop &loop, const EventHistory &history,
                         adapters::Metrics &metrics, const core::DispatcherOptions &options,
                         OperatorHooks hooks)
    : m_loop(loop)
    , m_history(history)
    , m_metrics(metrics)
    , m_vm(options.vm)
    , m_zone(options.zone)
    , m_incarnation(options.incarnation)
    , m_hooks(std::move(hooks))
{
}

HttpResponse OperatorApi::serve(const HttpRequest &request)
{
    static const std::string explainPath = "/v1/explain/";
    if (request.method == "GET" && request.path == "/livez") {
        return reply(200, {{"live", true}});
    }
    if (request.method == "GET" && request.path == "/readyz") {
        return ready();
    }
    if (request.method == "GET" && request.path == "/metrics") {
        return metrics();
    }
    if (request.method == "GET" && request.path == "/v1/status") {
        return status();
    }
    if (request.method == "GET" && request.path.starts_with(explainPath)) {
        const auto id = adapters::percentDecodeStrictly(request.path.substr(explainPath.size()));
        return id ? explain(JobId{*id}) : reply(400, {{"error", "bad-escape"}});
    }
    if (request.method == "POST" && request.path == "/v1/drain") {
        m_hooks.drain();
        return status();
    }
    return reply(404, {{"error", "unknown-route"}});
}

HttpResponse OperatorApi::metrics()
{
    const auto status = askAndWait(
            m_loop, [](core::Dispatcher &dispatcher, TimePoint) { return dispatcher.status(); });
    const auto set = [this](std::string_view name, auto value) {
        m_metrics.set(name, static_cast<double>(value));
    };
    set("queued_tasks", status.queuedTasks);
    set("running_tasks", status.runningTasks);
    set("records", status.records);
    set("caller_connections", m_hooks.callerConnections());
    set("operator_connections", m_hooks.operatorConnections());
    set("decision_busy_share", m_loop.busyShare());
    set("resident_memory_bytes", adapters::residentBytes());
    HttpResponse response{200, m_metrics.text(), {}};
    response.contentType = "text/plain; version=0.0.4";
    return response;
}

HttpResponse OperatorApi::ready()
{
    const bool isReady = !m_hooks.isDraining()
                         && askAndWait(m_loop, [](core::Dispatcher &dispatcher, TimePoint) {
                                const core::DispatcherStatus status = dispatcher.status();
                                return !status.draining && status.configuration.value() > 0;
                            });
    return reply(isReady ? 200 : 503, {{"ready", isReady}});
}

HttpResponse OperatorApi::status()
{
    struct Seen
    {
        core::DispatcherStatus status;
        std::vector<DecisionCount> counts;
    };
    const auto seen = askAndWait(m_loop, [this](core::Dispatcher &dispatcher, TimePoint) {
        return Seen{dispatcher.status(), m_history.counts()};
    });
    json::array decisions;
    for (const DecisionCount &it : seen.counts) {
        decisions.push_back(
                json::object{{"decision", it.event}, {"reason", it.reason}, {"count", it.count}});
    }
    const core::DispatcherStatus &status = seen.status;
    return reply(200, {{"vm", m_vm.value()},
                       {"zone", m_zone.value()},
                       {"incarnation", m_incarnation.value()},
                       {"draining", status.draining},
                       {"configurationVersion", status.configuration.value()},
                       {"records", status.records},
                       {"queuedTasks", status.queuedTasks},
                       {"runningTasks", status.runningTasks},
                       {"sealedSets", status.sealedSets},
                       {"keyRanges", status.heldKeyRanges},
                       {"keyRangesKnown", status.knownKeyRanges},
                       {"decisions", std::move(decisions)}});
}

HttpResponse OperatorApi::explain(const JobId &job)
{
    struct Seen
    {
        std::vector<HistoryEntry> entries;
        std::optional<core::JobView> view;
        core::DispatcherStatus status;
        TimePoint now;
    };
    const auto seen = askAndWait(m_loop, [this, &job](core::Dispatcher &dispatcher, TimePoint now) {
        return Seen{m_history.about(job), dispatcher.view(job), dispatcher.status(), now};
    });
    if (seen.entries.empty() && !seen.view) {
        return reply(404, {{"error", "unknown-job"}});
    }
    json::object object{{"id", job.value()}};
    if (seen.view) {
        const bool hasEnded = seen.view->outcome.has_value();
        const std::size_t waiting = hasEnded ? 0 : seen.view->taskCount - seen.view->startedCount;
        object["state"] = hasEnded                       ? name(*seen.view->outcome)
                          : seen.view->startedCount == 0 ? "queued"
                                                         : "running";
        if (hasEnded && !reasonName(*seen.view->outcome).empty()) {
            object["reason"] = reasonName(*seen.view->outcome);
        }
        object["tasksWaiting"] = waiting;
        object["waitingFor"] = waiting == 0 ? "nothing" : "free-slot";
        object["queuedTasksOfAllJobs"] = seen.status.queuedTasks;
    }
    object["tasks"] = tasksOf(seen.entries);
    json::array &events = object["events"].emplace_array();
    for (const HistoryEntry &it : seen.entries) {
        events.push_back(
                json::object{{"afterMs", toMilliseconds(it.time - seen.entries.front().time)},
                             {"event", it.event},
                             {"reason", it.reason},
                             {"detail", it.detail}});
    }
    return reply(200, object);
}

} // namespace rattandock::app
