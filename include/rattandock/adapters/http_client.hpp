#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/base/result.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::adapters {

/// Why a request has no answer.
struct HttpClientError
{
    boost::system::error_code ec;
    /// False if the connection was not made, so that the server saw nothing of the request.
    bool sent = false;
};

using HttpClientResult =
        outcome::result<HttpResponse, HttpClientError, outcome::policy::all_narrow>;

/// Sends one request over a connection of its own and blocks until the answer, or until the limit
/// for the whole exchange has passed. Thread safety: may be called from any thread.
HttpClientResult sendHttpRequest(const boost::asio::ip::tcp::endpoint &server,
                                 const HttpRequest &request, Duration limit);

} // namespace rattandock::adapters
