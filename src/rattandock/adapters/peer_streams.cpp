#include "rattandock/adapters/peer_streams.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>
#include <future>
#include <list>
#include <mutex>
#include <set>
#include <unordered_map>

#include "detail/peer_connection.hpp"
#include "detail/peer_link.hpp"
#include "rattandock/adapters/io_wait.hpp"
#include "rattandock/adapters/log.hpp"
#include "rattandock/adapters/peer_codec.hpp"

namespace rattandock::adapters {

namespace asio = boost::asio;
using asio::ip::tcp;
using detail::Http2Session;
using detail::PeerConnection;
using detail::PeerLink;

namespace {

/// Until a VM is known, the only message is its heartbeat.
constexpr std::size_t maxFirstMessageBytes = 64U << 10U;

} // namespace

struct PeerStreams::State : std::enable_shared_from_this<PeerStreams::State>
{
    struct Incoming
    {
        PeerConnection *connection = nullptr;
        /// Empty until a message of a known VM was accepted.
        const VmId *sender = nullptr;
    };
    /// One per I/O thread; touched by that thread only, but `links` is filled before.
    struct PerThread
    {
        explicit PerThread(asio::io_context &io)
            : ticker(io)
        {
        }

        asio::steady_timer ticker;
        std::vector<std::unique_ptr<PeerLink>> links;
        std::list<Incoming> incoming;
        /// The connection over which each peer sent a message last.
        std::unordered_map<VmId, PeerConnection *> inputs;
        std::set<VmId> knownVms;
    };
    struct Place
    {
        std::size_t thread = 0;
        PeerLink *link = nullptr;
        tcp::endpoint address;
    };

    State(IoThreads &owner, PeerStreamsOptions with, ports::EventSink &sink, Metrics &counters,
          HeartbeatSource source)
        : threads(owner)
        , options(std::move(with))
        , events(sink)
        , metrics(counters)
        , heartbeats(std::move(source))
        , heartbeatInterval(options.heartbeatInterval)
        , tls(options.tls)
        , acceptor(owner.io(0))
    {
        for (std::size_t n = 0; n < threads.count(); ++n) {
            perThread.push_back(std::make_unique<PerThread>(threads.io(n)));
        }
    }

    IoThreads &threads;
    const PeerStreamsOptions options;
    ports::EventSink &events;
    Metrics &metrics;
    const HeartbeatSource heartbeats;
    std::atomic<Duration> heartbeatInterval;
    std::mutex tlsMutex;
    PeerTls tls;
    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<PerThread>> perThread;
    std::unordered_map<VmId, Place> places;
    std::atomic<std::size_t> fibers = 0;
    std::atomic<std::size_t> connections = 0;
    std::atomic<bool> stopping = false;

    PeerTls currentTls()
    {
        const std::lock_guard lock{tlsMutex};
        return tls;
    }
    /// Runs the function as a fiber that stop() waits for.
    void spawnCounted(std::size_t thread, std::function<void()> function);
    std::unique_ptr<PeerLink> makeLink(std::size_t thread, const PeerAddress &peer);
    void acceptLoop();
    void serve(std::size_t thread, tcp::socket socket);
    bool evictUnknown(std::size_t thread);
    bool receive(std::size_t thread, PeerConnection &from, VmId &sender, std::string_view bytes);
    void replaceInput(std::size_t thread, const VmId &sender, PeerConnection *connection);
    bool refuse(std::string_view reason);
    void tick(std::size_t thread);
    void requestHeartbeat(std::size_t thread, const PeerLink *only);
    void settle(std::size_t thread);
    void reset(std::size_t thread);
    void closeAll(std::size_t thread);
};

void PeerStreams::State::spawnCounted(std::size_t thread, std::function<void()> function)
{
    ++fibers;
    threads.spawn(thread, [self = shared_from_this(), function = std::move(function)] {
        function();
        --self->fibers;
    });
}

std::unique_ptr<PeerLink> PeerStreams::State::makeLink(std::size_t thread, const PeerAddress &peer)
{
    return std::make_unique<PeerLink>(
            threads.io(thread), peer, options, events, metrics,
            [this, thread, vm = peer.vm] {
                if (const auto it = places.find(vm); it != places.end()) {
                    requestHeartbeat(thread, it->second.link);
                }
            },
            [this] { return currentTls(); });
}

void PeerStreams::State::acceptLoop()
{
    std::size_t next = 0;
    while (!stopping) {
        const std::size_t thread = next++ % threads.count();
        auto accepted = std::make_shared<std::optional<tcp::socket>>();
        const IoEnd end = awaitIo([&](auto handle) {
            acceptor.async_accept(threads.io(thread),
                                  [accepted, handle](auto ec, tcp::socket socket) mutable {
                                      *accepted = std::move(socket);
                                      handle(ec);
                                  });
        });
        if (end.ec == asio::error::operation_aborted || !acceptor.is_open()) {
            return;
        }
        if (end.ec) {
            // Out of descriptors or a connection that was reset before its accept.
            asio::steady_timer wait{threads.io(0), std::chrono::milliseconds{10}};
            awaitIo([&wait](auto handle) { wait.async_wait(handle); });
            continue;
        }
        ++connections;
        spawnCounted(thread, [this, thread, accepted] {
            serve(thread, std::move(**accepted));
            --connections;
        });
    }
}

void PeerStreams::State::serve(std::size_t thread, tcp::socket socket)
{
    if (stopping) {
        return;
    }
    if (connections > options.maxConnections && !evictUnknown(thread)) {
        metrics.count("peer_connections", "too-many");
        return;
    }
    VmId sender;
    PeerConnection *self = nullptr;
    PeerConnection connection{
            detail::PeerSocket{boost::beast::tcp_stream{std::move(socket)}, currentTls()},
            {Http2Session::Side::Server, options.silenceLimit, maxFirstMessageBytes,
             options.connectTimeout, VmId{}},
            {[&](const std::string &bytes) { return receive(thread, *self, sender, bytes); },
             nullptr},
            nullptr};
    self = &connection;
    auto &incoming = perThread[thread]->incoming;
    const auto place = incoming.insert(incoming.end(), {&connection, &sender});
    const PeerConnection::End end = connection.run();
    incoming.erase(place);
    const auto input = perThread[thread]->inputs.find(sender);
    if (input != perThread[thread]->inputs.end() && input->second == self) {
        replaceInput(thread, sender, nullptr);
    }
    metrics.count("peer_connections", name(end));
    if (end == PeerConnection::End::MessageTooLarge) {
        refuse("too-large");
    }
}

/// Makes room for a connection by closing the oldest one that has sent no message of a known VM;
/// false if there is none on this thread.
bool PeerStreams::State::evictUnknown(std::size_t thread)
{
    const auto &incoming = perThread[thread]->incoming;
    const auto it = std::ranges::find_if(incoming, [](const Incoming &one) {
        return one.sender->value().empty() && !one.connection->isClosing();
    });
    if (it == incoming.end()) {
        return false;
    }
    it->connection->close(PeerConnection::End::Evicted);
    return true;
}

bool PeerStreams::State::receive(std::size_t thread, PeerConnection &from, VmId &sender,
                                 std::string_view bytes)
{
    auto decoded = decodePeerMessage(bytes);
    if (!decoded) {
        return refuse(name(decoded.error()));
    }
    PeerEnvelope &envelope = decoded.value();
    if (!perThread[thread]->knownVms.contains(envelope.sender)) {
        return refuse("unknown-vm");
    }
    if (sender.value().empty() && !from.isFrom(envelope.sender)) {
        return refuse("wrong-certificate");
    }
    if (sender.value().empty()) {
        sender = envelope.sender;
        from.setMaxMessageBytes(maxPeerMessageBytes);
        replaceInput(thread, sender, &from);
    } else if (sender != envelope.sender) {
        return refuse("changed-origin");
    } else if (from.isClosing()) {
        // A part of what was read before replaceInput() closed the connection.
        return refuse("replaced-connection");
    }
    metrics.count("peer_messages_received", core::name(envelope.message));
    events.post(core::PeerMessageReceived{std::move(envelope.sender), std::move(envelope.message)});
    return true;
}

void PeerStreams::State::replaceInput(std::size_t thread, const VmId &sender,
                                      PeerConnection *connection)
{
    auto &inputs = perThread[thread]->inputs;
    const auto former = inputs.extract(sender);
    const bool hadInput = !former.empty();
    if (connection != nullptr) {
        if (hadInput) {
            // The peer has given it up. What it has not delivered yet is outdated.
            former.mapped()->close(PeerConnection::End::Replaced);
        }
        inputs[sender] = connection;
    }
    if (hadInput && options.onInputClosed && !stopping) {
        options.onInputClosed(sender);
    }
}

bool PeerStreams::State::refuse(std::string_view reason)
{
    metrics.count("peer_messages_refused", reason);
    log(LogLevel::Warn, LogPart::Peer, "a message was refused: " + std::string{reason});
    return false;
}

void PeerStreams::State::tick(std::size_t thread)
{
    asio::steady_timer &ticker = perThread[thread]->ticker;
    while (!stopping) {
        ticker.expires_after(heartbeatInterval.load());
        awaitIo([&ticker](auto handle) { ticker.async_wait(handle); });
        if (!stopping) {
            requestHeartbeat(thread, nullptr);
        }
    }
}

void PeerStreams::State::requestHeartbeat(std::size_t thread, const PeerLink *only)
{
    heartbeats([weak = weak_from_this(), thread, only](core::Heartbeat heartbeat) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        asio::post(self->threads.io(thread),
                   [weak, thread, only, message = core::PeerMessage{std::move(heartbeat)}] {
                       const auto state = weak.lock();
                       if (!state || state->stopping) {
                           return;
                       }
                       for (const auto &link : state->perThread[thread]->links) {
                           if (link->isConnected() && (only == nullptr || only == link.get())) {
                               link->send(message);
                           }
                       }
                   });
    });
}

void PeerStreams::State::settle(std::size_t thread)
{
    const auto limit = std::chrono::steady_clock::now() + options.settleLimit;
    const auto isSettled = [](const auto &link) { return link->isSettled(); };
    while (!std::ranges::all_of(perThread[thread]->links, isSettled)
           && std::chrono::steady_clock::now() < limit) {
        boost::this_fiber::sleep_for(std::chrono::milliseconds{1});
    }
}

void PeerStreams::State::reset(std::size_t thread)
{
    for (const auto &link : perThread[thread]->links) {
        link->reset();
    }
    for (const Incoming &it : perThread[thread]->incoming) {
        it.connection->close(PeerConnection::End::Reset);
    }
}

void PeerStreams::State::closeAll(std::size_t thread)
{
    PerThread &here = *perThread[thread];
    here.ticker.cancel();
    if (thread == 0) {
        boost::system::error_code ec;
        acceptor.close(ec);
    }
    for (const auto &link : here.links) {
        link->stop();
    }
    for (const Incoming &it : here.incoming) {
        it.connection->close(PeerConnection::End::Closed);
    }
}

IoResult<std::unique_ptr<PeerStreams>>
PeerStreams::listen(IoThreads &threads, const tcp::endpoint &endpoint, PeerStreamsOptions options,
                    ports::EventSink &events, Metrics &metrics, HeartbeatSource heartbeats)
{
    auto state = std::make_shared<State>(threads, std::move(options), events, metrics,
                                         std::move(heartbeats));
    boost::system::error_code ec;
    tcp::acceptor &acceptor = state->acceptor;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return ec;
    }
    state->spawnCounted(0, [state = state.get()] { state->acceptLoop(); });
    return std::unique_ptr<PeerStreams>{new PeerStreams(std::move(state))};
}

PeerStreams::PeerStreams(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

PeerStreams::~PeerStreams() = default;

void PeerStreams::connect(const std::vector<PeerAddress> &peers)
{
    State *const state = m_state.get();
    for (std::size_t n = 0; n < peers.size(); ++n) {
        const std::size_t thread = n % state->threads.count();
        auto &links = state->perThread[thread]->links;
        links.push_back(state->makeLink(thread, peers[n]));
        state->places[peers[n].vm] = {thread, links.back().get(), peers[n].address};
    }
    for (std::size_t n = 0; n < state->threads.count(); ++n) {
        state->spawnCounted(n, [state, n, peers] {
            State::PerThread &here = *state->perThread[n];
            for (const PeerAddress &it : peers) {
                here.knownVms.insert(it.vm);
            }
            for (const auto &link : here.links) {
                state->spawnCounted(n, [it = link.get()] { it->run(); });
            }
            state->tick(n);
        });
    }
}

void PeerStreams::addPeer(const PeerAddress &peer)
{
    State *const state = m_state.get();
    if (const auto known = state->places.find(peer.vm); known != state->places.end()) {
        if (known->second.address == peer.address) {
            return;
        }
        removePeer(peer.vm);
    }
    State::PerThread &here = *state->perThread[0];
    here.knownVms.insert(peer.vm);
    here.links.push_back(state->makeLink(0, peer));
    PeerLink *const link = here.links.back().get();
    state->places[peer.vm] = {0, link, peer.address};
    state->spawnCounted(0, [state, link] {
        link->run();
        std::erase_if(state->perThread[0]->links,
                      [link](const auto &it) { return it.get() == link; });
    });
}

void PeerStreams::removePeer(const VmId &vm)
{
    const auto known = m_state->places.find(vm);
    if (known == m_state->places.end()) {
        return;
    }
    m_state->perThread[0]->knownVms.erase(vm);
    known->second.link->stop();
    m_state->places.erase(known);
}

void PeerStreams::send(core::SendToPeer message)
{
    const auto place = m_state->places.find(message.peer);
    if (place == m_state->places.end()) {
        m_state->metrics.count("peer_messages_dropped", "unknown-vm");
        return;
    }
    asio::post(m_state->threads.io(place->second.thread),
               [weak = m_state->weak_from_this(), vm = std::move(message.peer),
                sent = std::move(message.message)] {
                   const auto state = weak.lock();
                   if (!state || state->stopping) {
                       return;
                   }
                   // The link may have been removed meanwhile.
                   if (const auto it = state->places.find(vm); it != state->places.end()) {
                       it->second.link->send(sent);
                   }
               });
}

void PeerStreams::resetConnections()
{
    for (std::size_t n = 0; n < m_state->threads.count(); ++n) {
        asio::post(m_state->threads.io(n), [weak = m_state->weak_from_this(), n] {
            if (const auto state = weak.lock()) {
                state->reset(n);
            }
        });
    }
}

void PeerStreams::setHeartbeatInterval(Duration interval)
{
    m_state->heartbeatInterval = interval;
}

void PeerStreams::replaceTls(PeerTls tls)
{
    const std::lock_guard lock{m_state->tlsMutex};
    m_state->tls = std::move(tls);
}

std::uint16_t PeerStreams::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

void PeerStreams::stop()
{
    const auto onEachThread = [this](auto function) {
        for (std::size_t n = 0; n < m_state->threads.count(); ++n) {
            std::promise<void> done;
            m_state->threads.spawn(n, [&function, n, &done] {
                function(n);
                done.set_value();
            });
            done.get_future().wait();
        }
    };
    onEachThread([this](std::size_t n) { m_state->settle(n); });
    m_state->stopping = true;
    onEachThread([this](std::size_t n) { m_state->closeAll(n); });
    while (m_state->fibers > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

} // namespace rattandock::adapters
