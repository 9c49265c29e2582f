#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

#include "rattandock/adapters/settings.hpp"

namespace rattandock::app::test {

/// Blocking TCP client that can send any bytes and end its connection at any point.
class TestClient
{
public:
    using Answer = boost::beast::http::response<boost::beast::http::string_body>;

    explicit TestClient(std::uint16_t port)
    {
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    /// Ignores errors, because the server may close in the middle.
    void send(std::string_view bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    }
    void endSending()
    {
        boost::system::error_code ec;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    }
    /// Closes with a reset instead of an orderly end.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }
    /// The next answer; status 0 if the connection ended instead.
    Answer read()
    {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.body_limit(64U << 20U);
        boost::system::error_code ec;
        boost::beast::http::read(m_socket, m_buf, parser, ec);
        if (ec) {
            Answer none;
            none.result(0U);
            return none;
        }
        return parser.release();
    }
    /// True if the server has ended the connection and sent nothing more.
    bool ended()
    {
        char byte = 0;
        boost::system::error_code ec;
        m_socket.read_some(boost::asio::buffer(&byte, 1), ec);
        return ec.failed();
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket{m_io};
    boost::beast::flat_buffer m_buf;
};

inline std::string request(std::string_view method, std::string_view path,
                           std::string_view body = {})
{
    return std::string{method} + ' ' + std::string{path}
           + " HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + std::string{body};
}

inline TestClient::Answer ask(std::uint16_t port, std::string_view method, std::string_view path,
                              std::string_view body = {})
{
    TestClient client{port};
    client.send(request(method, path, body));
    return client.read();
}

inline adapters::Settings testSettings()
{
    adapters::Settings settings;
    settings.dispatcher.vm = VmId{"vm-1"};
    settings.dispatcher.zone = ZoneId{"z1"};
    settings.callerAddress = {boost::asio::ip::make_address("127.0.0.1"), 0};
    settings.operatorAddress = settings.callerAddress;
    settings.logLevel = adapters::LogLevel::Error;
    return settings;
}

/// The value of a sample line such as `rattandock_x_total{reason="y"}`; -1 if it is absent.
inline double metric(std::uint16_t operatorPort, std::string_view sample)
{
    const std::string text = '\n' + ask(operatorPort, "GET", "/metrics").body();
    const std::string line = '\n' + std::string{sample} + ' ';
    const auto at = text.find(line);
    return at == std::string::npos ? -1 : std::stod(text.substr(at + line.size()));
}

} // namespace rattandock::app::test
