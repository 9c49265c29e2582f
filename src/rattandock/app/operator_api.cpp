#include "rattandock/app/operator_api.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

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

} // namespace

OperatorApi::OperatorApi(DecisionLoop &loop, const EventHistory &history,
                         adapters::Metrics &metrics, const core::DispatcherOptions &options)
    : m_loop(loop)
    , m_history(history)
    , m_metrics(metrics)
    , m_vm(options.vm)
    , m_zone(options.zone)
    , m_incarnation(options.incarnation)
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
        HttpResponse response{200, m_metrics.text(), {}};
        response.contentType = "text/plain; version=0.0.4";
        return response;
    }
    if (request.method == "GET" && request.path == "/v1/status") {
        return status();
    }
    if (request.method == "GET" && request.path.starts_with(explainPath)) {
        return explain(JobId{adapters::percentDecode(request.path.substr(explainPath.size()))});
    }
    if (request.method == "POST" && request.path == "/v1/drain") {
        m_loop.post(core::DrainRequested{});
        return status();
    }
    return reply(404, {{"error", "unknown-route"}});
}

HttpResponse OperatorApi::ready()
{
    const bool isReady = askAndWait(m_loop, [](core::Dispatcher &dispatcher, TimePoint) {
        const core::DispatcherStatus status = dispatcher.status();
        return !status.draining && status.configuration.value() > 0;
    });
    return reply(isReady ? 200 : 503, {{"ready", isReady}});
}

HttpResponse OperatorApi::status()
{
    const auto status = askAndWait(
            m_loop, [](core::Dispatcher &dispatcher, TimePoint) { return dispatcher.status(); });
    return reply(200, {{"vm", m_vm.value()},
                       {"zone", m_zone.value()},
                       {"incarnation", m_incarnation.value()},
                       {"draining", status.draining},
                       {"configurationVersion", status.configuration.value()},
                       {"records", status.records},
                       {"queuedTasks", status.queuedTasks},
                       {"runningTasks", status.runningTasks}});
}

HttpResponse OperatorApi::explain(const JobId &job)
{
    const auto entries = askAndWait(
            m_loop, [this, &job](core::Dispatcher &, TimePoint) { return m_history.about(job); });
    if (entries.empty()) {
        return reply(404, {{"error", "unknown-job"}});
    }
    json::array events;
    for (const HistoryEntry &it : entries) {
        events.push_back(json::object{{"afterMs", toMilliseconds(it.time - entries.front().time)},
                                      {"event", name(it.kind)},
                                      {"reason", it.reason},
                                      {"detail", it.detail}});
    }
    return reply(200, {{"id", job.value()}, {"events", std::move(events)}});
}

} // namespace rattandock::app
