#include "rattandock/adapters/upstream_client.hpp"

#include <sys/socket.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <cerrno>
#include <future>
#include <list>
#include <optional>

#include "detail/http_parts.hpp"
#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using core::AttemptCompleted;
using core::AttemptFailed;
using core::AttemptFailure;
using core::AttemptNotStarted;
using core::NotStartedReason;

namespace {

std::string requestText(const core::StartTask &task)
{
    std::string text = "POST /tasks HTTP/1.1\r\nHost: upstream\r\nRattandock-Task: ";
    text += percentEncode(task.job.value());
    text += '#' + std::to_string(task.task.value());
    text += "\r\nRattandock-Attempt: " + std::to_string(task.attempt.value());
    text += "\r\nRattandock-Estimate-Ms: " + std::to_string(toMilliseconds(task.estimate));
    text += "\r\nContent-Type: application/octet-stream\r\nContent-Length: ";
    text += std::to_string(task.payload.size()) + "\r\n\r\n";
    return text + task.payload;
}

/// True if the peer has neither closed the idle connection nor sent anything on it.
bool isStillIdle(tcp::socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

/// Connections and attempts of one I/O thread; touched by that thread only.
class UpstreamClient::Pool
{
public:
    Pool(asio::io_context &io, const ports::Clock &clock, ports::EventSink &events,
         const UpstreamClientOptions &options)
        : m_io(io)
        , m_clock(clock)
        , m_events(events)
        , m_options(options)
    {
    }

    void addUpstream(const UpstreamId &upstream, const tcp::endpoint &address)
    {
        m_upstreams[upstream].address = address;
    }

    void announce(AttemptId attempt) { m_running[attempt]; }

    void run(const core::StartTask &task)
    {
        Upstream &upstream = m_upstreams.at(task.upstream);
        const TimePoint begin = m_clock.now();
        core::AttemptEnded ended{
                task.attempt, AttemptNotStarted{NotStartedReason::NoConnection}, {}, false};
        attempt(upstream, task, ended);
        ended.elapsed = m_clock.now() - begin;
        m_running.erase(task.attempt);
        m_events.post(std::move(ended));
    }

    void stop(AttemptId attempt)
    {
        const auto it = m_running.find(attempt);
        if (it == m_running.end()) {
            return;
        }
        it->second.stopped = true;
    }

    void closeIdle()
    {
        for (auto &[id, upstream] : m_upstreams) {
            upstream.open -= upstream.idle.size();
            upstream.idle.clear();
        }
    }

    void stopAll()
    {
        for (auto &[id, running] : m_running) {
            running.stopped = true;
            if (running.stream != nullptr) {
                running.stream->cancel();
            }
        }
    }

    bool idle() const { return m_running.empty(); }

private:
    struct Connection
    {
        beast::tcp_stream stream;
        beast::flat_buffer buf;
        TimePoint lastUse;
    };
    struct Upstream
    {
        tcp::endpoint address;
        std::list<Connection> idle;
        std::size_t open = 0;
    };
    struct Running
    {
        beast::tcp_stream *stream = nullptr;
        bool stopped = false;
    };

    void attempt(Upstream &upstream, const core::StartTask &task, core::AttemptEnded &ended)
    {
        std::list<Connection> taken;
        if (!takeIdle(upstream, taken)) {
            if (upstream.open >= m_options.connectionsPerUpstream) {
                return;
            }
            ++upstream.open;
            taken.emplace_back(Connection{
                    beast::tcp_stream{m_io}, beast::flat_buffer{detail::maxPartBytes}, {}});
            if (!connect(upstream, task.attempt, taken.front())) {
                --upstream.open;
                ended.result = AttemptNotStarted{NotStartedReason::ConnectionRefused};
                return;
            }
        }
        const bool reusable = exchange(taken.front(), task, ended);
        if (reusable) {
            taken.front().lastUse = m_clock.now();
            upstream.idle.splice(upstream.idle.begin(), taken);
        } else {
            --upstream.open;
        }
    }

    bool takeIdle(Upstream &upstream, std::list<Connection> &taken)
    {
        const TimePoint oldest = m_clock.now() - m_options.idleTimeout;
        while (!upstream.idle.empty()) {
            taken.splice(taken.begin(), upstream.idle, upstream.idle.begin());
            Connection &connection = taken.front();
            if (connection.lastUse > oldest && isStillIdle(connection.stream.socket())) {
                return true;
            }
            taken.clear();
            --upstream.open;
        }
        return false;
    }

    bool connect(Upstream &upstream, AttemptId attempt, Connection &connection)
    {
        Running &running = m_running[attempt];
        running.stream = &connection.stream;
        connection.stream.expires_after(m_options.connectTimeout);
        const IoEnd end = awaitIo(
                [&](auto handle) { connection.stream.async_connect(upstream.address, handle); });
        m_running[attempt].stream = nullptr;
        if (end.ec) {
            return false;
        }
        beast::error_code ec;
        connection.stream.socket().set_option(tcp::no_delay(true), ec);
        return true;
    }

    /// Sends the request and reads the reply. True if the connection may be used again.
    bool exchange(Connection &connection, const core::StartTask &task, core::AttemptEnded &ended)
    {
        Running &running = m_running[task.attempt];
        const TimePoint now = m_clock.now();
        if (running.stopped || now >= task.sendBy) {
            ended.result = AttemptNotStarted{NotStartedReason::RequestNotWritten};
            return true;
        }
        running.stream = &connection.stream;
        connection.stream.expires_after(task.replyBy - now);
        const std::string request = requestText(task);
        const IoEnd written = awaitIo([&](auto handle) {
            asio::async_write(connection.stream, asio::buffer(request), handle);
        });
        if (written.ec) {
            ended.result = written.bytes < request.size()
                                   ? core::AttemptResult{AttemptNotStarted{
                                           NotStartedReason::RequestNotWritten}}
                                   : AttemptFailed{AttemptFailure::ConnectionLost};
            return false;
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(m_options.maxReplyBytes);
        const IoEnd read = awaitIo([&](auto handle) {
            http::async_read(connection.stream, connection.buf, parser, handle);
        });
        if (read.ec) {
            ended.result = AttemptFailed{failureFor(read.ec)};
            return false;
        }
        judge(parser.get(), task.attempt, ended);
        const bool crossed =
                std::holds_alternative<AttemptFailed>(ended.result)
                && std::get<AttemptFailed>(ended.result).reason == AttemptFailure::CrossedReply;
        return parser.get().keep_alive() && !crossed && connection.buf.size() == 0;
    }

    static AttemptFailure failureFor(const beast::error_code &ec)
    {
        if (ec == beast::error::timeout) {
            return AttemptFailure::TimedOut;
        }
        const auto &parsing = http::make_error_code(http::error::bad_method).category();
        const bool cutShort =
                ec == http::error::end_of_stream || ec == http::error::partial_message;
        return ec.category() == parsing && !cutShort ? AttemptFailure::MalformedReply
                                                     : AttemptFailure::ConnectionLost;
    }

    static void judge(http::response<http::string_body> &reply, AttemptId attempt,
                      core::AttemptEnded &ended)
    {
        ended.upstreamLeaving = reply["Rattandock-Leaving"] == "true";
        if (reply["Rattandock-Attempt"] != std::to_string(attempt.value())) {
            ended.result = AttemptFailed{AttemptFailure::CrossedReply};
        } else if (reply.result() == http::status::ok) {
            ended.result = AttemptCompleted{std::move(reply.body())};
        } else if (reply.result() == http::status::service_unavailable
                   && reply["Rattandock-Not-Started"] == "true") {
            ended.result = AttemptNotStarted{NotStartedReason::UpstreamRefused};
        } else {
            ended.result = AttemptFailed{AttemptFailure::BadStatus};
        }
    }

    asio::io_context &m_io;
    const ports::Clock &m_clock;
    ports::EventSink &m_events;
    const UpstreamClientOptions m_options;
    std::unordered_map<UpstreamId, Upstream> m_upstreams;
    std::unordered_map<AttemptId, Running> m_running;
};

UpstreamClient::UpstreamClient(IoThreads &threads, const ports::Clock &clock,
                               ports::EventSink &events, UpstreamClientOptions options,
                               const Addresses &addresses)
    : m_threads(threads)
{
    for (std::size_t n = 0; n < threads.count(); ++n) {
        m_pools.push_back(std::make_unique<Pool>(threads.io(n), clock, events, options));
    }
    std::size_t next = 0;
    for (const auto &[upstream, address] : addresses) {
        const std::size_t thread = next++ % threads.count();
        m_threadOf.emplace(upstream, thread);
        m_pools[thread]->addUpstream(upstream, address);
    }
}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::start(core::StartTask task)
{
    const std::size_t thread = m_threadOf.at(task.upstream);
    Pool &pool = *m_pools[thread];
    asio::post(m_threads.io(thread), [&pool, task = std::move(task)]() mutable {
        pool.announce(task.attempt);
        spawnFiber([&pool, task = std::move(task)] { pool.run(task); });
    });
}

void UpstreamClient::stop(core::StopTask task)
{
    const std::size_t thread = m_threadOf.at(task.upstream);
    Pool &pool = *m_pools[thread];
    asio::post(m_threads.io(thread), [&pool, task] { pool.stop(task.attempt); });
}

void UpstreamClient::shutDown()
{
    for (std::size_t n = 0; n < m_pools.size(); ++n) {
        Pool &pool = *m_pools[n];
        std::promise<void> done;
        m_threads.spawn(n, [&pool, &done] {
            pool.stopAll();
            while (!pool.idle()) {
                boost::this_fiber::sleep_for(std::chrono::milliseconds{1});
            }
            pool.closeIdle();
            done.set_value();
        });
        done.get_future().wait();
    }
}

} // namespace rattandock::adapters
