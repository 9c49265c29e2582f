#pragma once

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/app/decision_loop.hpp"
#include "rattandock/app/event_history.hpp"

namespace rattandock::app {

/// The routes of the operator listener. Thread safety: serve() may run on any I/O thread.
class OperatorApi
{
public:
    OperatorApi(DecisionLoop &loop, const EventHistory &history, adapters::Metrics &metrics,
                const core::DispatcherOptions &options);

    adapters::HttpResponse serve(const adapters::HttpRequest &request);

private:
    adapters::HttpResponse ready();
    adapters::HttpResponse status();
    adapters::HttpResponse explain(const JobId &job);

    DecisionLoop &m_loop;
    const EventHistory &m_history;
    adapters::Metrics &m_metrics;
    VmId m_vm;
    ZoneId m_zone;
    Incarnation m_incarnation;
};

} // namespace rattandock::app
