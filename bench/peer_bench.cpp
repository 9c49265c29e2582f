// Cost of the peer streams: bytes of messages, processor time of messages and memory of links.
// Runs two PeerStreams on loopback in one process, so each figure is that of both ends together.

#include <sys/resource.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <malloc.h>
#include <memory>
#include <string>
#include <thread>

#include "../src/rattandock/adapters/detail/http2_session.hpp"
#include "rattandock/adapters/peer_codec.hpp"
#include "rattandock/adapters/peer_streams.hpp"

using namespace rattandock;
using namespace rattandock::adapters;
using boost::asio::ip::tcp;

namespace {

const tcp::endpoint anyPort{boost::asio::ip::make_address("127.0.0.1"), 0};

class Counter final : public ports::EventSink
{
public:
    void post(core::Event event) override
    {
        if (const auto *const it = std::get_if<core::PeerLinkChanged>(&event)) {
            linksUp += it->up ? 1 : -1;
        } else {
            ++messages;
        }
    }

    std::atomic<int> linksUp = 0;
    std::atomic<std::uint64_t> messages = 0;
};

core::Heartbeat heartbeatOf(const std::string &vm)
{
    return {VmId{vm},
            Incarnation{1},
            ZoneId{"zone-1"},
            123'456'789,
            ConfigurationVersion{1},
            100,
            200,
            false,
            {}};
}

core::ForwardJob jobOf(std::size_t tasks, std::size_t payloadBytes)
{
    core::JobSpec job{JobId{"v1.vm-1.0123456789abcdef.0123456.ea60.0123456789abcdef/key-0001"},
                      TeamId{"team"},
                      std::chrono::seconds{5},
                      {}};
    job.tasks.resize(tasks, {std::string(payloadBytes, 'x'), std::chrono::milliseconds{100}, {}});
    return {1, Incarnation{1}, std::move(job)};
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &it) {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Resident memory of the process in KB.
long residentKilobytes()
{
    std::ifstream in{"/proc/self/statm"};
    long total = 0;
    long resident = 0;
    in >> total >> resident;
    return resident * 4;
}

struct End
{
    explicit End(const std::string &vm, Duration heartbeatInterval = std::chrono::hours{1})
        : threads(1)
    {
        PeerStreamsOptions options;
        options.vm = VmId{vm};
        options.incarnation = Incarnation{1};
        options.heartbeatInterval = heartbeatInterval;
        options.silenceLimit = std::chrono::hours{1};
        options.maxConnections = 1000;
        options.sendQueue = Bytes{1U << 30U};
        streams = PeerStreams::listen(threads, anyPort, options, events, metrics,
                                      [vm](const auto &give) { give(heartbeatOf(vm)); })
                          .value();
    }
    ~End()
    {
        streams->stop();
        streams.reset();
    }
    End(const End &) = delete;
    End &operator=(const End &) = delete;

    Counter events;
    Metrics metrics;
    IoThreads threads;
    std::unique_ptr<PeerStreams> streams;
};

void waitUntil(const auto &condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

void connect(End &a, End &b)
{
    b.streams->connect({{VmId{"vm-1"}, ZoneId{"zone-1"}, {anyPort.address(), a.streams->port()}}});
    a.streams->connect({{VmId{"vm-2"}, ZoneId{"zone-1"}, {anyPort.address(), b.streams->port()}}});
    waitUntil([&] { return a.events.linksUp == 1 && b.events.linksUp == 1; });
}

void measureSize(const char *what, const core::PeerMessage &message)
{
    const auto bytes = encodePeerMessage({VmId{"vm-1"}, Incarnation{1}, message});
    std::printf("%-34s %9zu B encoded\n", what, bytes.value().size());
}

void measureCodec(const char *what, const core::PeerMessage &message, int rounds)
{
    const PeerEnvelope envelope{VmId{"vm-1"}, Incarnation{1}, message};
    std::size_t sum = 0;
    const double begin = processorSeconds();
    for (int n = 0; n < rounds; ++n) {
        sum += encodePeerMessage(envelope).value().size();
    }
    const double middle = processorSeconds();
    const std::string bytes = encodePeerMessage(envelope).value();
    for (int n = 0; n < rounds; ++n) {
        sum += decodePeerMessage(bytes).value().incarnation.value();
    }
    const double end = processorSeconds();
    std::printf("%-34s %9.2f us encode, %.2f us decode (check %zu)\n", what,
                (middle - begin) * 1e6 / rounds, (end - middle) * 1e6 / rounds, sum);
}

/// `burst` messages at a time; a burst of 1 waits for each arrival.
void measureStream(const char *what, const core::PeerMessage &message, int rounds, int burst)
{
    End a{"vm-1"};
    End b{"vm-2"};
    connect(a, b);
    std::uint64_t expected = b.events.messages;
    const double begin = processorSeconds();
    for (int n = 0; n < rounds; n += burst) {
        for (int m = 0; m < burst; ++m) {
            a.streams->send({VmId{"vm-2"}, message});
        }
        expected += static_cast<std::uint64_t>(burst);
        while (b.events.messages < expected) {
            std::this_thread::sleep_for(std::chrono::microseconds{200});
        }
    }
    std::printf("%-34s %9.2f us both ends, with the reply (bursts of %d)\n", what,
                (processorSeconds() - begin) * 1e6 / rounds, burst);
}

/// Bytes of HTTP/2 for one more message on a connection that has carried the same before.
void measureWire(const char *what, const core::PeerMessage &message)
{
    using detail::Http2Session;
    const auto bytes = encodePeerMessage({VmId{"vm-1"}, Incarnation{1}, message}).value();
    Http2Session client{Http2Session::Side::Client, {nullptr, [](bool) {}}, maxPeerMessageBytes};
    Http2Session server{Http2Session::Side::Server,
                        {[](const std::string &) { return true; }, nullptr},
                        maxPeerMessageBytes};
    std::size_t there = 0;
    std::size_t back = 0;
    constexpr int rounds = 1000;
    for (int n = 0; n < rounds; ++n) {
        client.submit(bytes);
        while (true) {
            std::string out;
            std::string reply;
            client.fillOutput(out, 1U << 20U);
            server.receive(out);
            server.fillOutput(reply, 1U << 20U);
            client.receive(reply);
            there += out.size();
            back += reply.size();
            if (out.empty() && reply.empty()) {
                break;
            }
        }
    }
    std::printf("%-34s %9.1f B sent, %.1f B back in HTTP/2\n", what,
                static_cast<double>(there) / rounds, static_cast<double>(back) / rounds);
}

void measureMemory(int count)
{
    End hub{"vm-0"};
    std::vector<std::unique_ptr<End>> ends;
    std::vector<PeerAddress> peers;
    for (int n = 0; n < count; ++n) {
        ends.push_back(std::make_unique<End>("peer-" + std::to_string(n)));
        peers.push_back({VmId{"peer-" + std::to_string(n)},
                         ZoneId{"zone-1"},
                         {anyPort.address(), ends.back()->streams->port()}});
    }
    const long residentBefore = residentKilobytes();
    hub.streams->connect(peers);
    for (const auto &it : ends) {
        it->streams->connect(
                {{VmId{"vm-0"}, ZoneId{"zone-1"}, {anyPort.address(), hub.streams->port()}}});
    }
    waitUntil([&] {
        return hub.events.linksUp == count
               && std::ranges::all_of(ends, [](const auto &it) { return it->events.linksUp == 1; });
    });
    std::printf(
            "memory per peer: %.1f KB resident in each daemon, for both connections (%d peers)\n",
            static_cast<double>(residentKilobytes() - residentBefore) / count / 2, count);
}

} // namespace

int main()
{
    const core::PeerMessage heartbeat = heartbeatOf("vm-1");
    const core::PeerMessage smallJob = jobOf(1, 100);
    const core::PeerMessage job = jobOf(200, 100);
    measureSize("heartbeat", heartbeat);
    measureSize("forward-job, 1 task of 100 B", smallJob);
    measureSize("forward-job, 200 tasks of 100 B", job);
    measureWire("heartbeat", heartbeat);
    measureWire("forward-job, 1 task of 100 B", smallJob);
    measureWire("forward-job, 200 tasks of 100 B", job);
    measureCodec("heartbeat", heartbeat, 100'000);
    measureCodec("forward-job, 1 task of 100 B", smallJob, 100'000);
    measureCodec("forward-job, 200 tasks of 100 B", job, 2'000);
    measureStream("heartbeat", heartbeat, 2'000, 1);
    measureStream("heartbeat", heartbeat, 50'000, 50);
    measureStream("forward-job, 1 task of 100 B", smallJob, 50'000, 50);
    measureStream("forward-job, 200 tasks of 100 B", job, 5'000, 50);
    measureMemory(50);
}
