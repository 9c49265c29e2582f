#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <variant>

#include "rattandock/fleet/fleet_action.hpp"
#include "rattandock/fleet/run_report.hpp"

namespace rattandock::ports {

struct StartReply
{
    fleet::OrderResult result{};
    std::optional<fleet::UpstreamTime> clock;
};

using LookReply = std::variant<fleet::RunReport, fleet::OrderResult>;

/// Orders to upstreams. Each call is sent at most once.
/// Thread safety: called from fibers of one I/O thread, which a call suspends.
class UpstreamOrders
{
public:
    virtual ~UpstreamOrders() = default;

    virtual StartReply start(const boost::asio::ip::tcp::endpoint &upstream,
                             const fleet::StartOrder &order) = 0;
    virtual fleet::OrderResult stop(const boost::asio::ip::tcp::endpoint &upstream,
                                    const fleet::StopOrder &order) = 0;
    virtual LookReply look(const boost::asio::ip::tcp::endpoint &upstream,
                           const fleet::PollOrder &order) = 0;
    /// Whether a connection can be made.
    virtual bool isReachable(const boost::asio::ip::tcp::endpoint &upstream) = 0;
    /// Closes the idle connections to an upstream. It accepts few, which its next keeper needs.
    virtual void release(const boost::asio::ip::tcp::endpoint &upstream) = 0;
};

} // namespace rattandock::ports
