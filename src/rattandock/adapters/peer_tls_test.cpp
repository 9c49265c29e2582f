#include "rattandock/adapters/peer_tls.hpp"

#include <boost/test/unit_test.hpp>

#include "detail/certificate_maker.hpp"
#include "detail/peer_node.hpp"

using namespace rattandock;
using namespace rattandock::adapters;
using namespace rattandock::adapters::detail;

namespace {

PeerStreamsOptions tlsOptions(const std::string &vm, const PeerTlsFiles &files)
{
    PeerStreamsOptions options = optionsOf(vm);
    options.tls = loadPeerTls(files).value();
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTlsTest)

// Guards against messages that TLS cuts, reorders or holds back.
BOOST_AUTO_TEST_CASE(messagesPassOverTls)
{
    CertificateMaker maker;
    Node a{tlsOptions("a", maker.make("a"))};
    Node b{tlsOptions("b", maker.make("b"))};
    connectBoth(a, b);
    for (std::uint64_t n = 0; n < 10; ++n) {
        a.sendVersion("b", n, n << 18U);
        b.sendVersion("a", n, n << 18U);
    }
    waitUntil([&] { return a.events.versions().size() + b.events.versions().size() >= 20; });
    BOOST_TEST(a.events.versions() == b.events.versions());
}

// Guards against a peer without TLS, of another authority or with another VM's certificate.
BOOST_AUTO_TEST_CASE(refusesWrongCertificates)
{
    CertificateMaker maker;
    CertificateMaker otherMaker;
    Node a{tlsOptions("a", maker.make("a"))};
    Node plain{optionsOf("b")};
    Node stranger{tlsOptions("c", otherMaker.make("c"))};
    Node impostor{tlsOptions("d", maker.make("e"))};
    const std::vector<PeerAddress> toA{addressOf("a", a.address())};
    a.streams->connect({addressOf("b", plain.address()), addressOf("c", stranger.address()),
                        addressOf("d", impostor.address())});
    for (Node *const it : {&plain, &stranger, &impostor}) {
        it->streams->connect(toA);
    }
    // The plain and the strange VM fail in the handshake, in both directions.
    waitUntil([&] {
        return a.countOf("peer_connections", "tls-failed") != "0"
               && a.countOf("peer_links_closed", "tls-failed") != "0"
               && stranger.countOf("peer_links_closed", "tls-failed") != "0"
               && plain.countOf("peer_connections", "protocol-violation") != "0";
    });
    // The impostor's certificate is of the authority, so that only its name betrays it.
    waitUntil([&] {
        return a.countOf("peer_messages_refused", "wrong-certificate") != "0"
               && a.countOf("peer_links_closed", "wrong-certificate") != "0"
               && impostor.countOf("peer_links_closed", "refused") != "0";
    });
    BOOST_TEST(a.events.links().empty());
    BOOST_TEST(a.countOf("peer_messages_received", "heartbeat") == "0");
    for (const Node *const it : {&plain, &stranger, &impostor}) {
        BOOST_TEST(it->events.links().empty());
    }
}

// Guards against a reload that drops connections or that new connections do not see.
BOOST_AUTO_TEST_CASE(reloadKeepsConnectionsAndServesNewOnes)
{
    CertificateMaker oldMaker;
    CertificateMaker newMaker;
    Node a{tlsOptions("a", oldMaker.make("a"))};
    auto b = std::make_unique<Node>(tlsOptions("b", oldMaker.make("b")));
    const auto address = b->address();
    connectBoth(a, *b);
    a.streams->replaceTls(loadPeerTls(newMaker.make("a")).value());
    a.sendVersion("b", 1);
    waitUntil([&] { return !b->events.versions().empty(); });
    BOOST_TEST(a.events.links() == std::vector<bool>{true});
    b.reset();
    b = std::make_unique<Node>(tlsOptions("b", newMaker.make("b")), address);
    b->streams->connect({addressOf("a", a.address())});
    waitUntil([&] { return a.events.links().size() == 3U && b->events.isUp(); });
    BOOST_TEST(a.events.isUp());
}

// Guards against files that are used although one of them does not fit.
BOOST_AUTO_TEST_CASE(reportsFilesThatCannotBeUsed)
{
    CertificateMaker maker;
    PeerTlsFiles files = maker.make("a");
    files.key = maker.make("b").key;
    const auto mixed = loadPeerTls(files);
    BOOST_REQUIRE(!mixed);
    BOOST_REQUIRE(mixed.error().items().size() == 1U);
    BOOST_TEST(mixed.error().items()[0].place == files.key);
    const auto absent = loadPeerTls({"/absent/a", "/absent/b", "/absent/c"});
    BOOST_REQUIRE(!absent);
    BOOST_TEST(absent.error().items().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
