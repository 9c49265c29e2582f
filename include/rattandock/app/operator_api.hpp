#pragma once

#include <functional>

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/app/decision_loop.hpp"
#include "rattandock/app/event_history.hpp"

namespace rattandock::app {

/// What the operator's routes need of the daemon around them.
struct OperatorHooks
{
    std::function<std::size_t()> callerConnections;
    std::function<std::size_t()> operatorConnections;
    /// Begins the planned stop; must not block.
    std::function<void()> drain;
    /// True from the first moment of the planned stop.
    std::function<bool()> isDraining;
};

/// The routes of the operator listener. Thread safety: serve() may run on any I/O thread.
class OperatorApi
{
public:
    OperatorApi(DecisionLoop &loop, const EventHistory &history, adapters::Metrics &metrics,
                const core::DispatcherOptions &options, OperatorHooks hooks);

    adapters::HttpResponse serve(const adapters::HttpRequest &request);

private:
    adapters::HttpResponse ready();
    adapters::HttpResponse metrics();
    adapters::HttpResponse status();
    adapters::HttpResponse explain(const JobId &job);

    DecisionLoop &m_loop;
    const EventHistory &m_history;
    adapters::Metrics &m_metrics;
    VmId m_vm;
    ZoneId m_zone;
    Incarnation m_incarnation;
    OperatorHooks m_hooks;
};

} // namespace rattandock::app
