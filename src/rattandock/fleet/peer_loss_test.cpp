// Tests of offers between VMs whose links end at different times, on one FleetDispatcher.
#include <boost/test/unit_test.hpp>

#include "offers_fixture_test.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;

BOOST_FIXTURE_TEST_SUITE(PeerLossTest, OffersFixture)

// Guards against a task that runs twice: a VM took an offer while its own link to the offering VM
// was down, and the offering VM had given the job up when it saw the end of that link.
BOOST_AUTO_TEST_CASE(startsNothingOfAnOfferThatItCannotAnswer)
{
    send(PeerLinkChanged{b, false});
    send(OfferReceived{b, TaskOffer{5, job("offered", 2, 300ms), {0, 1}, 1}});
    pass(200ms);
    BOOST_TEST(starts.empty());
    BOOST_TEST(dispatcher->status().jobs == 0);
}

// Guards against tasks that wait for their deadline at the offering VM, as the answer to an offer
// that came before the link was up again was not sent.
BOOST_AUTO_TEST_CASE(returnsTheOfferOnceTheLinkIsUp)
{
    send(PeerLinkChanged{b, false});
    send(OfferReceived{b, TaskOffer{5, job("offered", 2, 300ms), {0, 1}, 1}});
    BOOST_TEST(taken<TaskOfferEnded>().empty());
    send(PeerLinkChanged{b, true});
    const auto ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 1);
    BOOST_TEST(ends[0].first == b);
    BOOST_TEST(ends[0].second.number == 5);
    BOOST_TEST((ends[0].second.result == OfferResult::NotRun));
    send(PeerLinkChanged{b, false});
    send(PeerLinkChanged{b, true});
    BOOST_TEST(taken<TaskOfferEnded>().empty());
}

// Guards against the refusal of another process's offer: a restarted VM numbers its offers anew.
BOOST_AUTO_TEST_CASE(returnsNoOfferOfAnEndedConnection)
{
    send(PeerLinkChanged{b, false});
    send(OfferReceived{b, TaskOffer{1, job("offered", 2, 300ms), {0, 1}, 1}});
    send(PeerInputClosed{b});
    send(PeerLinkChanged{b, true});
    BOOST_TEST(taken<TaskOfferEnded>().empty());
}

// Guards against tasks that another VM runs to their end beside the second attempt of the caller:
// the VM that had broken off the job told it nothing, although the link to it was up.
BOOST_AUTO_TEST_CASE(withdrawsItsOffersWhenTheInputOfThePeerEnds)
{
    const std::uint64_t offer = offerToB(2);
    send(PeerInputClosed{b});
    const auto withdrawn = taken<TaskOfferWithdrawn>();
    BOOST_REQUIRE(withdrawn.size() == 1);
    BOOST_TEST(withdrawn[0].first == b);
    BOOST_TEST(withdrawn[0].second.number == offer);
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST(std::holds_alternative<JobBrokenOff>(*end));
}

// Guards against an offer whose answer cannot arrive: the VM has closed its connection to this one.
BOOST_AUTO_TEST_CASE(offersNothingToAVmThatCannotAnswer)
{
    occupy();
    report(b, {{64'000, 100}});
    send(PeerInputClosed{b});
    submit(2, job("waits", 2, 300ms));
    BOOST_TEST(taken<TaskOffer>().empty());
    report(b, {{64'000, 100}});
    BOOST_TEST(taken<TaskOffer>().size() == 1);
}

// Guards against tasks that are started by an offer from before a pause, and against two VMs that
// were paused at the same time and refuse each other's offers for as long as their links last.
BOOST_AUTO_TEST_CASE(replacesTheLinksAfterAPause)
{
    now += 1500ms;
    send(ProcessPaused{1500ms});
    BOOST_TEST(std::ranges::count_if(recorded,
                                     [](const FleetAction &it) {
                                         return std::holds_alternative<ResetPeerConnections>(it);
                                     })
               == 1);
    pass(20ms);
    send(OfferReceived{b, TaskOffer{5, job("before", 1, 300ms), {0}, 1}});
    pass(20ms);
    BOOST_TEST(starts.empty());
    send(PeerLinkChanged{b, false});
    send(PeerInputClosed{b});
    send(PeerLinkChanged{b, true});
    send(OfferReceived{b, TaskOffer{6, job("after", 1, 300ms), {0}, 1}});
    pass(20ms);
    BOOST_TEST(starts.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
