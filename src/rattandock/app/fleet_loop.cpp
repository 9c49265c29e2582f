#include "rattandock/app/fleet_loop.hpp"

#include <time.h>

#include <algorithm>
#include <boost/asio/post.hpp>

#include "rattandock/adapters/endpoint.hpp"
#include "rattandock/base/overloaded.hpp"

namespace rattandock::app {

namespace {

/// A gap between two events of this length means that the process or the VM stood still: the
/// dispatcher's own timers come four times a second. Above it the leases of running tasks (600 ms)
/// are over, and callers begin to come back elsewhere (1,300 ms).
constexpr Duration pauseLimit = std::chrono::milliseconds{1000};

/// Goes on while the VM is suspended, unlike the steady clock.
Duration bootTime()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds{now.tv_sec}
                                                + std::chrono::nanoseconds{now.tv_nsec});
}

} // namespace

FleetLoop::FleetLoop(adapters::IoThreads &threads, const ports::Clock &clock,
                     fleet::FleetOptions options, ports::UpstreamOrders &orders,
                     EventHistory &history)
    : m_threads(threads)
    , m_clock(clock)
    , m_dispatcher(std::move(options))
    , m_orders(orders)
    , m_history(history)
    , m_timer(threads.io(0))
{
}

void FleetLoop::start(ports::PeerPort &peers, StoreHooks hooks)
{
    m_peers = &peers;
    m_hooks = std::move(hooks);
    post(fleet::TimerDue{});
}

void FleetLoop::sendToZone(const fleet::UpstreamChanges &changes)
{
    for (const VmId &it : m_dispatcher.linkedVmsInOwnZone()) {
        m_peers->send({it, changes});
    }
}

void FleetLoop::requestUpstreamChanges(std::uint64_t version)
{
    for (const VmId &it : m_dispatcher.linkedVmsInOtherZones(fleet::changesRequestRevision)) {
        m_peers->send({it, fleet::UpstreamChangesRequest{version}});
    }
}

void FleetLoop::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    while (!m_waiters.empty()) {
        finish(m_waiters.begin()->first, fleet::JobBrokenOff{fleet::BreakOffReason::Stopping});
    }
}

void FleetLoop::post(fleet::FleetEvent event)
{
    m_events.push_back(std::move(event));
    // Actions may post; their events are handled after the current one.
    if (!m_isHandling) {
        drainEvents();
    }
}

void FleetLoop::drainEvents()
{
    m_isHandling = true;
    fleet::FleetActions actions;
    while (!m_events.empty() && !m_isStopped) {
        const TimePoint now = m_clock.now();
        noticePause(now);
        const fleet::FleetEvent event = std::move(m_events.front());
        m_events.pop_front();
        m_dispatcher.handle(event, now, actions);
        carryOut(actions, now);
        actions.clear();
    }
    m_isHandling = false;
    armTimer();
}

void FleetLoop::noticePause(TimePoint now)
{
    const Duration boot = bootTime();
    if (m_lastHandled) {
        const Duration gap = std::max(now - *m_lastHandled, boot - m_lastBootTime);
        if (gap >= pauseLimit) {
            fleet::FleetActions actions;
            m_dispatcher.handle(fleet::ProcessPaused{gap}, now, actions);
            carryOut(actions, now);
        }
    }
    m_lastHandled = now;
    m_lastBootTime = boot;
}

void FleetLoop::armTimer()
{
    const auto next = m_dispatcher.nextTimer();
    if (m_isStopped || !next || (m_armedFor && *m_armedFor <= *next)) {
        return;
    }
    m_armedFor = *next;
    m_timer.expires_after(std::max(*next - m_clock.now(), Duration{}));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            m_armedFor.reset();
            post(fleet::TimerDue{});
        }
    });
}

void FleetLoop::carryOut(fleet::FleetActions &actions, TimePoint now)
{
    for (fleet::FleetAction &action : actions) {
        std::visit(Overloaded{[&](fleet::StartOrder &it) { start(std::move(it)); },
                              [&](fleet::PollOrder &it) { look(std::move(it)); },
                              [&](fleet::StopOrder &it) { stop(std::move(it)); },
                              [&](fleet::AnswerJob &it) { finish(it.request, it.end); },
                              [&](fleet::SendToVm &it) {
                                  std::visit(
                                          [&](auto &message) {
                                              m_peers->send({it.vm, std::move(message)});
                                          },
                                          it.message);
                              },
                              [&](const fleet::SendHeartbeat &it) {
                                  for (const VmId &vm : it.vms) {
                                      m_peers->send({vm, m_hooks.heartbeat()});
                                  }
                              },
                              [&](fleet::WriteKeepers &it) { m_hooks.writeKeepers(it); },
                              [&](fleet::ProbeUpstream &it) { probe(std::move(it)); },
                              [&](const fleet::ResetPeerConnections &) {
                                  m_hooks.resetPeerConnections();
                              },
                              [&](const fleet::ReleaseConnections &it) {
                                  if (const auto address = adapters::parseEndpoint(it.address)) {
                                      m_orders.release(*address);
                                  }
                              },
                              [&](fleet::FleetLogRecord &it) { m_history.note(it, now); }},
                   action);
    }
}

std::optional<boost::asio::ip::tcp::endpoint> FleetLoop::addressOf(const UpstreamId &upstream)
{
    const fleet::UpstreamEntry *const entry = m_dispatcher.findKeptUpstream(upstream);
    return entry == nullptr ? std::nullopt : adapters::parseEndpoint(entry->address);
}

void FleetLoop::releaseUnlessKept(const UpstreamId &upstream,
                                  const boost::asio::ip::tcp::endpoint &address)
{
    // The exchange that ended has left its connection idle.
    if (m_dispatcher.findKeptUpstream(upstream) == nullptr) {
        m_orders.release(address);
    }
}

void FleetLoop::start(fleet::StartOrder order)
{
    const auto address = addressOf(order.upstream);
    if (!address) {
        return post(fleet::StartOrderCompleted{order.upstream, order.name, order.number,
                                               fleet::OrderResult::NotSent, std::nullopt});
    }
    adapters::spawnFiber([this, address, order = std::move(order)] {
        const ports::StartReply reply = m_orders.start(*address, order);
        releaseUnlessKept(order.upstream, *address);
        post(fleet::StartOrderCompleted{order.upstream, order.name, order.number, reply.result,
                                        reply.clock});
    });
}

void FleetLoop::stop(fleet::StopOrder order)
{
    const auto address = addressOf(order.upstream);
    if (!address) {
        return post(fleet::StopOrderCompleted{order.upstream, order.name, order.number,
                                              fleet::OrderResult::NotSent});
    }
    adapters::spawnFiber([this, address, order = std::move(order)] {
        const fleet::OrderResult result = m_orders.stop(*address, order);
        releaseUnlessKept(order.upstream, *address);
        post(fleet::StopOrderCompleted{order.upstream, order.name, order.number, result});
    });
}

void FleetLoop::look(fleet::PollOrder order)
{
    const auto address = addressOf(order.upstream);
    if (!address) {
        return post(
                fleet::RunReportFailed{order.upstream, order.number, fleet::OrderResult::NotSent});
    }
    adapters::spawnFiber([this, address, order = std::move(order)] {
        ports::LookReply reply = m_orders.look(*address, order);
        releaseUnlessKept(order.upstream, *address);
        if (auto *const report = std::get_if<fleet::RunReport>(&reply)) {
            post(fleet::RunReportReceived{order.upstream, order.number, std::move(*report)});
        } else {
            post(fleet::RunReportFailed{order.upstream, order.number,
                                        std::get<fleet::OrderResult>(reply)});
        }
    });
}

void FleetLoop::probe(fleet::ProbeUpstream order)
{
    adapters::spawnFiber([this, order = std::move(order)] {
        const auto address = adapters::parseEndpoint(order.address);
        post(fleet::UpstreamProbed{order.zone, address && m_orders.isReachable(*address)});
    });
}

std::optional<fleet::JobEnd>
FleetLoop::submit(fleet::FleetJob job,
                  const std::function<void(std::function<void()> onClosed)> &watchClose)
{
    const CallerRequestId request{m_nextRequest++};
    const auto waiter = std::make_shared<Waiter>();
    m_waiters.emplace(request, waiter);
    auto end = waiter->end.get_future();
    watchClose([this, request] {
        post(fleet::CallerDisconnected{request});
        finish(request, std::nullopt);
    });
    // A caller that has left before its request was read gets no run.
    if (m_waiters.contains(request)) {
        post(fleet::JobSubmitted{request, std::move(job)});
    }
    return end.get();
}

bool FleetLoop::cancel(const JobId &job)
{
    if (!m_dispatcher.hasJob(job)) {
        return false;
    }
    post(fleet::JobCancelled{job});
    return true;
}

void FleetLoop::finish(CallerRequestId request, std::optional<fleet::JobEnd> end)
{
    const auto it = m_waiters.find(request);
    if (it == m_waiters.end()) {
        return;
    }
    const auto waiter = std::move(it->second);
    m_waiters.erase(it);
    waiter->end.set_value(end);
}

void FleetLoop::post(core::Event event)
{
    boost::asio::post(m_threads.io(0), [this, event = std::move(event)]() mutable {
        onPeerEvent(std::move(event));
    });
}

void FleetLoop::postInputClosed(const VmId &vm)
{
    boost::asio::post(m_threads.io(0), [this, vm] { post(fleet::PeerInputClosed{vm}); });
}

void FleetLoop::onPeerEvent(core::Event event)
{
    std::visit(Overloaded{[&](const core::PeerMessageReceived &it) { onPeerMessage(it); },
                          [&](const core::PeerLinkChanged &it) {
                              post(fleet::PeerLinkChanged{it.peer, it.up});
                              m_hooks.linkChanged();
                          },
                          [](const auto &) {}},
               event);
}

void FleetLoop::onPeerMessage(const core::PeerMessageReceived &event)
{
    std::visit(Overloaded{[&](const core::Heartbeat &it) {
                              post(fleet::PeerCapacityReported{event.from, it.zone, it.draining,
                                                               it.room, it.incarnation,
                                                               it.configuration.value()});
                          },
                          [&](const fleet::TaskOffer &it) {
                              post(fleet::OfferReceived{event.from, it});
                          },
                          [&](const fleet::QueuedTaskOffer &it) {
                              post(fleet::OfferReceived{event.from, it.offer, it.startWithin});
                          },
                          [&](const fleet::TasksReturned &it) {
                              post(fleet::OfferedTasksReturned{event.from, it});
                          },
                          [&](const fleet::TaskOfferEnded &it) {
                              post(fleet::OfferEnded{event.from, it});
                          },
                          [&](const fleet::TaskOfferWithdrawn &it) {
                              post(fleet::OfferWithdrawn{event.from, it});
                          },
                          [&](const fleet::EvacuationState &it) {
                              post(fleet::EvacuationStateReceived{event.from, it});
                          },
                          [&](const fleet::UpstreamSuspicion &it) {
                              post(fleet::SuspicionReceived{event.from, it});
                          },
                          [&](const fleet::ColdUpstreams &it) {
                              post(fleet::ColdUpstreamsReceived{event.from, it});
                          },
                          [&](const fleet::UpstreamChanges &it) {
                              // Notices a pause first.
                              post(fleet::TimerDue{});
                              if (m_dispatcher.isLinkFresh(event.from)) {
                                  m_hooks.takeUpstreamChanges(event.from, it);
                              }
                          },
                          [&](const fleet::UpstreamChangesRequest &it) {
                              if (const auto changes = m_hooks.upstreamChangesSince(it.version)) {
                                  m_peers->send({event.from, *changes});
                              }
                          },
                          [](const auto &) {}},
               event.message);
}

} // namespace rattandock::app
