#include "http2_session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <unordered_map>
#include <utility>

namespace rattandock::adapters::detail {

namespace {

/// Messages whose replies are under way; each open stream takes memory.
constexpr std::uint32_t maxConcurrentStreams = 256;

template <std::size_t nameSize, std::size_t valueSize>
nghttp2_nv headerField(const char (&name)[nameSize], const char (&value)[valueSize])
{
    // nghttp2 takes mutable pointers and copies what they point at.
    const auto bytes = [](const char *text) {
        return const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(text));
    };
    return {bytes(name), bytes(value), nameSize - 1, valueSize - 1, NGHTTP2_NV_FLAG_NONE};
}

} // namespace

struct Http2Session::Nghttp2
{
    Nghttp2(Side which, Handlers those, std::size_t bound)
        : side(which)
        , handlers(std::move(those))
        , maxMessageBytes(bound)
    {
    }
    Nghttp2(const Nghttp2 &) = delete;
    Nghttp2 &operator=(const Nghttp2 &) = delete;
    ~Nghttp2() { nghttp2_session_del(session); }

    const Side side;
    const Handlers handlers;
    std::size_t maxMessageBytes;
    nghttp2_session *session = nullptr;
    Fault fault = Fault::None;
    /// Server: bodies that are not whole yet, and their bytes together.
    std::unordered_map<std::int32_t, std::string> bodies;
    std::size_t bodyBytes = 0;
    /// Client: the message that is being sent.
    std::string sending;
    std::size_t sent = 0;
    bool isSending = false;

    int fail(Fault why)
    {
        fault = why;
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    int onData(std::int32_t stream, std::string_view data)
    {
        if (side == Side::Client) {
            return 0;
        }
        bodyBytes += data.size();
        if (bodyBytes > maxMessageBytes) {
            return fail(Fault::MessageTooLarge);
        }
        bodies[stream] += data;
        return 0;
    }

    int onRequestEnd(std::int32_t stream)
    {
        std::string body = std::move(bodies[stream]);
        bodies.erase(stream);
        bodyBytes -= body.size();
        const bool accepted = handlers.received(std::move(body));
        const nghttp2_nv status =
                accepted ? headerField(":status", "204") : headerField(":status", "400");
        return nghttp2_submit_response(session, stream, &status, 1, nullptr) == 0
                       ? 0
                       : fail(Fault::ProtocolViolation);
    }

    int onStreamClose(std::int32_t stream, std::uint32_t code)
    {
        if (const auto it = bodies.find(stream); it != bodies.end()) {
            bodyBytes -= it->second.size();
            bodies.erase(it);
        }
        return side == Side::Client && code != NGHTTP2_NO_ERROR ? fail(Fault::StreamReset) : 0;
    }

    ssize_t readBody(std::uint8_t *into, std::size_t room, std::uint32_t *flags)
    {
        const std::size_t n = std::min(room, sending.size() - sent);
        std::memcpy(into, sending.data() + sent, n);
        sent += n;
        if (sent == sending.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            isSending = false;
            sending = {};
            sent = 0;
        }
        return static_cast<ssize_t>(n);
    }

    static Nghttp2 &self(void *user) { return *static_cast<Nghttp2 *>(user); }

    static int dataCallback(nghttp2_session * /*session*/, std::uint8_t /*flags*/,
                            std::int32_t stream, const std::uint8_t *data, std::size_t size,
                            void *user)
    {
        return self(user).onData(stream, {reinterpret_cast<const char *>(data), size});
    }

    static int frameCallback(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        const bool carriesRequest =
                frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        Nghttp2 &it = self(user);
        return it.side == Side::Server && carriesRequest && ends
                       ? it.onRequestEnd(frame->hd.stream_id)
                       : 0;
    }

    static int headerCallback(nghttp2_session * /*session*/, const nghttp2_frame * /*frame*/,
                              const std::uint8_t *name, std::size_t nameSize,
                              const std::uint8_t *value, std::size_t valueSize,
                              std::uint8_t /*flags*/, void *user)
    {
        Nghttp2 &it = self(user);
        const std::string_view key{reinterpret_cast<const char *>(name), nameSize};
        if (it.side == Side::Client && key == ":status") {
            it.handlers.replied(std::string_view{reinterpret_cast<const char *>(value), valueSize}
                                == "204");
        }
        return 0;
    }

    static int closeCallback(nghttp2_session * /*session*/, std::int32_t stream, std::uint32_t code,
                             void *user)
    {
        return self(user).onStreamClose(stream, code);
    }

    static ssize_t bodyCallback(nghttp2_session * /*session*/, std::int32_t /*stream*/,
                                std::uint8_t *into, std::size_t room, std::uint32_t *flags,
                                nghttp2_data_source * /*source*/, void *user)
    {
        return self(user).readBody(into, room, flags);
    }
};

Http2Session::Http2Session(Side side, Handlers handlers, std::size_t maxMessageBytes)
    : m_nghttp2(std::make_unique<Nghttp2>(side, std::move(handlers), maxMessageBytes))
{
    nghttp2_session_callbacks *callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) {
        throw std::bad_alloc{};
    }
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Nghttp2::dataCallback);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Nghttp2::frameCallback);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Nghttp2::headerCallback);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Nghttp2::closeCallback);
    const auto create =
            side == Side::Client ? &nghttp2_session_client_new : &nghttp2_session_server_new;
    const int rc = create(&m_nghttp2->session, callbacks, m_nghttp2.get());
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry streams{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                                         maxConcurrentStreams};
    if (rc != 0
        || nghttp2_submit_settings(m_nghttp2->session, NGHTTP2_FLAG_NONE, &streams, 1) != 0) {
        throw std::bad_alloc{};
    }
}

Http2Session::~Http2Session() = default;

void Http2Session::setMaxMessageBytes(std::size_t bytes)
{
    m_nghttp2->maxMessageBytes = bytes;
}

Http2Session::Fault Http2Session::receive(std::string_view bytes)
{
    const auto taken = nghttp2_session_mem_recv(
            m_nghttp2->session, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (m_nghttp2->fault != Fault::None) {
        return m_nghttp2->fault;
    }
    const bool open = nghttp2_session_want_read(m_nghttp2->session) != 0;
    return taken == static_cast<ssize_t>(bytes.size()) && open ? Fault::None
                                                               : Fault::ProtocolViolation;
}

bool Http2Session::canSubmit() const
{
    return !m_nghttp2->isSending;
}

void Http2Session::submit(std::string message)
{
    m_nghttp2->sending = std::move(message);
    m_nghttp2->sent = 0;
    m_nghttp2->isSending = true;
    const std::array<nghttp2_nv, 4> request{
            headerField(":method", "POST"), headerField(":scheme", "http"),
            headerField(":path", "/peer"), headerField(":authority", "peer")};
    nghttp2_data_provider body{};
    body.read_callback = &Nghttp2::bodyCallback;
    if (nghttp2_submit_request(m_nghttp2->session, nullptr, request.data(), request.size(), &body,
                               nullptr)
        < 0) {
        m_nghttp2->fault = Fault::ProtocolViolation;
    }
}

bool Http2Session::fillOutput(std::string &out, std::size_t wanted)
{
    while (m_nghttp2->fault == Fault::None && out.size() < wanted) {
        const std::uint8_t *data = nullptr;
        const auto size = nghttp2_session_mem_send(m_nghttp2->session, &data);
        if (size < 0) {
            m_nghttp2->fault = Fault::ProtocolViolation;
        } else if (size == 0) {
            break;
        } else {
            out.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
        }
    }
    return m_nghttp2->fault == Fault::None;
}

} // namespace rattandock::adapters::detail
