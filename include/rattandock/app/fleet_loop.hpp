#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/app/event_history.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/ports/action_ports.hpp"
#include "rattandock/ports/clock.hpp"
#include "rattandock/ports/event_sink.hpp"
#include "rattandock/ports/upstream_orders.hpp"

namespace rattandock::app {

/// Drives a FleetDispatcher on one I/O thread: hands it events and the time, and carries out its
/// actions on fibers of the same thread. On the platform's VMs only one thread runs at a time and
/// each wake-up costs, so a decision thread of its own would only add work.
///
/// Thread safety: all methods are called on the I/O thread, but for post(core::Event) and
/// postInputClosed().
class FleetLoop final : public ports::EventSink
{
public:
    /// What the loop needs from the rest of the daemon. Links may change before start().
    struct StoreHooks
    {
        std::function<void(const fleet::WriteKeepers &)> writeKeepers;
        /// Takes changes of the list of upstreams that the VM has forwarded.
        std::function<void(const VmId &, const fleet::UpstreamChanges &)> takeUpstreamChanges;
        /// Returns the changes of the list of upstreams since a version, if they are known.
        std::function<std::optional<fleet::UpstreamChanges>(std::uint64_t)> upstreamChangesSince;
        /// Returns the present heartbeat of this VM.
        std::function<core::Heartbeat()> heartbeat;
        /// A link went up or down.
        std::function<void()> linkChanged = [] {};
        /// Closes the connections to and from other VMs.
        std::function<void()> resetPeerConnections = [] {};
    };

    /// Precondition: the references outlive the loop.
    FleetLoop(adapters::IoThreads &threads, const ports::Clock &clock, fleet::FleetOptions options,
              ports::UpstreamOrders &orders, EventHistory &history);

    /// Sets where actions to peers and to the shared tables go, and starts the timer.
    /// Call once, on the I/O thread.
    void start(ports::PeerPort &peers, StoreHooks hooks);
    /// Sends to the linked VMs of the own zone.
    void sendToZone(const fleet::UpstreamChanges &changes);
    /// Asks the linked VMs of other zones for the changes of the list of upstreams.
    void requestUpstreamChanges(std::uint64_t version);

    void post(fleet::FleetEvent event);
    /// Events of the peer streams. Thread safety: any thread.
    void post(core::Event event) override;
    /// Reports that the connection over which another VM sent its messages has ended. It is handled
    /// after the messages of that connection. Thread safety: any thread.
    void postInputClosed(const VmId &vm);

    /// Submits a job and suspends the calling fiber until its end. `watchClose` is told what to
    /// call if the caller leaves; the result is empty then.
    std::optional<fleet::JobEnd>
    submit(fleet::FleetJob job,
           const std::function<void(std::function<void()> onClosed)> &watchClose);

    /// Cancels a job and answers its caller. Returns false if no caller of this VM waits for it.
    bool cancel(const JobId &job);

    const fleet::FleetDispatcher &dispatcher() const { return m_dispatcher; }
    TimePoint now() const { return m_clock.now(); }
    /// Stops the timer; later events are dropped.
    void stop();

private:
    struct Waiter
    {
        boost::fibers::promise<std::optional<fleet::JobEnd>> end;
    };

    void drainEvents();
    void noticePause(TimePoint now);
    void armTimer();
    void carryOut(fleet::FleetActions &actions, TimePoint now);
    void start(fleet::StartOrder order);
    void stop(fleet::StopOrder order);
    void look(fleet::PollOrder order);
    void probe(fleet::ProbeUpstream order);
    void finish(CallerRequestId request, std::optional<fleet::JobEnd> end);
    std::optional<boost::asio::ip::tcp::endpoint> addressOf(const UpstreamId &upstream);
    void releaseUnlessKept(const UpstreamId &upstream,
                           const boost::asio::ip::tcp::endpoint &address);
    void onPeerEvent(core::Event event);
    void onPeerMessage(const core::PeerMessageReceived &event);

    adapters::IoThreads &m_threads;
    const ports::Clock &m_clock;
    fleet::FleetDispatcher m_dispatcher;
    ports::UpstreamOrders &m_orders;
    EventHistory &m_history;
    ports::PeerPort *m_peers = nullptr;
    StoreHooks m_hooks;
    boost::asio::steady_timer m_timer;
    std::optional<TimePoint> m_armedFor;
    std::deque<fleet::FleetEvent> m_events;
    bool m_isHandling = false;
    bool m_isStopped = false;
    std::optional<TimePoint> m_lastHandled;
    Duration m_lastBootTime{};
    std::unordered_map<CallerRequestId, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_nextRequest = 1;
};

} // namespace rattandock::app
