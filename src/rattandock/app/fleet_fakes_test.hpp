#pragma once

#include <vector>

#include "rattandock/app/fleet_loop.hpp"

// Stand-ins of what a FleetLoop talks to.
namespace rattandock::app::test {

/// Records the messages to other VMs.
class RecordedPeers final : public ports::PeerPort
{
public:
    void send(core::SendToPeer message) override { sent.push_back(std::move(message)); }

    template <typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const core::SendToPeer &it : sent) {
            if (const auto *const one = std::get_if<T>(&it.message)) {
                found.push_back(*one);
            }
        }
        return found;
    }

    std::vector<core::SendToPeer> sent;
};

class NoUpstreams final : public ports::UpstreamOrders
{
public:
    ports::StartReply start(const boost::asio::ip::tcp::endpoint &,
                            const fleet::StartOrder &) override
    {
        return {};
    }
    fleet::OrderResult stop(const boost::asio::ip::tcp::endpoint &,
                            const fleet::StopOrder &) override
    {
        return {};
    }
    ports::LookReply look(const boost::asio::ip::tcp::endpoint &, const fleet::PollOrder &) override
    {
        return fleet::OrderResult{};
    }
    bool isReachable(const boost::asio::ip::tcp::endpoint &) override { return false; }
    void release(const boost::asio::ip::tcp::endpoint &) override { }
};

} // namespace rattandock::app::test
