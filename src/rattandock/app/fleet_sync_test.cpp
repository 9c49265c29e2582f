// Tests of the reading of the operator's table, against a scripted store.
#include "rattandock/app/fleet_sync.hpp"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <future>
#include <thread>

#include "fleet_fakes_test.hpp"
#include "rattandock/adapters/io_wait.hpp"
#include "rattandock/adapters/system_clock.hpp"

using namespace rattandock;
using namespace rattandock::app;
using namespace rattandock::app::test;
using namespace std::chrono_literals;
using ports::StoreFailure;
using ports::StoreRow;
using ports::StoreRows;

namespace {

const std::string operatorTable = "op";

/// Answers reads of the operator's table from a script. All other tables are empty.
class ScriptedStore final : public ports::MetadataStore
{
public:
    explicit ScriptedStore(boost::asio::io_context &io)
        : m_io(io)
    {
    }

    ports::ReadResult read(const std::string &table, const std::string & /*part*/) override
    {
        const auto began = std::chrono::steady_clock::now();
        if (const auto failed = m_failedAt.find(table); failed != m_failedAt.end()) {
            delays[table].push_back(began - failed->second);
            m_failedAt.erase(failed);
        }
        do {
            pause();
        } while (table == heldTable);
        ++wholeReads[table];
        if (failingTables.contains(table)) {
            m_failedAt[table] = std::chrono::steady_clock::now();
            return StoreFailure::NoAnswer;
        }
        return table == operatorTable ? whole : table == "upstreams" ? upstreams : StoreRows{};
    }
    ports::ReadResult changes(const std::string &table, std::uint64_t after,
                              Duration /*wait*/) override
    {
        pause();
        if (turnedAwayTables.contains(table)) {
            return StoreFailure::Refused;
        }
        if (table != operatorTable || script.empty()) {
            return StoreRows{{}, after, false};
        }
        const ports::ReadResult next = script.front();
        script.pop_front();
        if (std::holds_alternative<StoreFailure>(next)) {
            m_failedAt[table] = std::chrono::steady_clock::now();
        }
        return next;
    }
    std::optional<std::vector<std::string>> parts(const std::string & /*table*/) override
    {
        return std::vector<std::string>{};
    }
    ports::WriteResult write(const std::vector<ports::StoreWrite> &written) override
    {
        for (const ports::StoreWrite &it : written) {
            ++writes[it.table];
        }
        return ports::StoreCommitted{1};
    }

    StoreRows whole;
    StoreRows upstreams;
    std::deque<ports::ReadResult> script;
    std::map<std::string, int> wholeReads;
    std::map<std::string, int> writes;
    /// Reads of this table do not end.
    std::string heldTable;
    /// Reads of the changes of these tables are refused.
    std::set<std::string> turnedAwayTables;
    /// Whole reads of these tables fail.
    std::set<std::string> failingTables;
    /// The times from a failed read to the whole read that followed it.
    std::map<std::string, std::vector<std::chrono::steady_clock::duration>> delays;

private:
    void pause()
    {
        boost::asio::steady_timer timer{m_io, 2ms};
        adapters::awaitIo([&timer](auto handle) { timer.async_wait(handle); });
    }

    boost::asio::io_context &m_io;
    std::map<std::string, std::chrono::steady_clock::time_point> m_failedAt;
};

StoreRow row(const std::string &key, std::uint64_t version, bool isRemoved = false)
{
    return {"", key, isRemoved ? "" : std::to_string(version), version, isRemoved};
}

fleet::FleetOptions options()
{
    fleet::FleetOptions options;
    options.vm = VmId{"vm"};
    options.zone = ZoneId{"z"};
    return options;
}

struct Fixture
{
    explicit Fixture(Duration limit = 2s)
        : drainLimit(limit)
    {
        store.whole = {{row("config", 1), row("evacuate/a", 2)}, 10, false};
    }
    Fixture(const Fixture &) = delete;
    ~Fixture()
    {
        onThread([&] {
            store.heldTable.clear();
            sync.stop();
        });
        waitUntil([&] { return sync.running() == 0; });
        onThread([&] { loop.stop(); });
        threads.stop();
    }

    static fleet::UpstreamEntry upstream(const std::string &id)
    {
        fleet::UpstreamEntry entry;
        entry.id = UpstreamId{id};
        entry.zone = ZoneId{"z"};
        return entry;
    }
    /// The version of a configuration is the value of its row.
    static DirectoryFormat format()
    {
        return {"upstreams",
                operatorTable,
                "config",
                "evacuate/",
                [](const std::string &key, std::string_view) {
                    return std::optional{upstream(key)};
                },
                [](std::string_view value) {
                    fleet::FleetConfig config;
                    config.version = ConfigurationVersion{std::stoull(std::string{value})};
                    return std::optional{config};
                }};
    }
    void start()
    {
        onThread([&] {
            sync.start([&](const fleet::FleetConfig &it) { configuration = it.version.value(); },
                       [](const auto &) {});
        });
    }
    /// Starts the loop with a link to a VM of another zone.
    void startWithPeer()
    {
        onThread([&] {
            loop.start(peers, {[](const auto &) {},
                               [&](const auto &from, const auto &changes) {
                                   sync.takeUpstreamChanges(from, changes);
                               },
                               [&](std::uint64_t version) { return sync.changesSince(version); },
                               [] { return core::Heartbeat{}; }});
            loop.post(fleet::PeerLinkChanged{peer, true});
            loop.post(fleet::PeerCapacityReported{
                    peer, ZoneId{"y"}, false, {}, std::nullopt, fleet::changesRequestRevision});
        });
        start();
    }
    void receive(core::PeerMessage message)
    {
        loop.post(core::Event{core::PeerMessageReceived{peer, std::move(message)}});
    }
    void onThread(const std::function<void()> &function)
    {
        std::promise<void> done;
        threads.spawn(0, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }
    /// Returns the function's result. The loop's thread owns the state that it reads.
    template <typename Function>
    auto readOnThread(const Function &function)
    {
        decltype(function()) result{};
        onThread([&] { result = function(); });
        return result;
    }
    /// Fails the test if the condition does not come true.
    void waitUntil(const std::function<bool()> &condition)
    {
        bool isTrue = false;
        for (int n = 0; n < 2000 && !isTrue; ++n) {
            onThread([&] { isTrue = condition(); });
            std::this_thread::sleep_for(2ms);
        }
        BOOST_REQUIRE(isTrue);
    }
    /// Call it on the loop's thread.
    std::set<ZoneId> evacuatedZones() const
    {
        std::set<ZoneId> zones;
        for (const auto &it : loop.dispatcher().status().evacuations) {
            zones.insert(it.zone);
        }
        return zones;
    }
    void waitForZones(const std::set<ZoneId> &zones)
    {
        waitUntil([&] { return evacuatedZones() == zones; });
    }
    std::uint64_t configurationVersion()
    {
        return readOnThread([this] { return configuration; });
    }
    std::size_t knownUpstreams()
    {
        return readOnThread([this] { return loop.dispatcher().status().knownUpstreams; });
    }
    int wholeReads()
    {
        return readOnThread([this] { return store.wholeReads[operatorTable]; });
    }
    /// Waits for five whole reads of the table that follow a failed read, and checks the delays.
    void checkDelays(const std::string &table)
    {
        waitUntil([&] { return store.delays[table].size() >= 5; });
        const auto delays = readOnThread([&] { return store.delays[table]; });
        const Duration expected[] = {50ms, 100ms, 200ms, 400ms, 400ms};
        for (std::size_t n = 0; n < std::size(expected); ++n) {
            // Only the lower bound: a busy machine makes a delay longer.
            BOOST_TEST((delays[n] >= expected[n]), table << ", delay " << n);
        }
    }
    void answerNext(const ports::ReadResult &result)
    {
        onThread([&] { store.script.push_back(result); });
    }

    /// Determines when the copy of the list of upstreams is overdue.
    const Duration drainLimit;
    adapters::IoThreads threads{1};
    adapters::SystemClock clock;
    adapters::Metrics metrics;
    EventHistory history{metrics};
    NoUpstreams orders;
    ScriptedStore store{threads.io(0)};
    FleetLoop loop{threads, clock, options(), orders, history};
    FleetSync sync{store,
                   loop,
                   format(),
                   fleet::MemberRow{VmId{"vm"}, Incarnation{1}, ZoneId{"z"}, "127.0.0.1:1"},
                   fleet::DirectoryTimes{drainLimit},
                   threads.io(0)};
    std::uint64_t configuration = 0;
    RecordedPeers peers;
    const VmId peer{"other"};
};

/// The copy of the list of upstreams is not overdue during a test, however slow the machine is.
struct RecentListFixture : Fixture
{
    RecentListFixture()
        : Fixture(1h)
    {
    }
};

const ZoneId zoneA{"a"};
const ZoneId zoneB{"b"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetSyncTest, Fixture)

// Guards against a request that is missed in a whole read or a change, against one that is kept
// after its row was removed, and against taking rows of other kinds for requests.
BOOST_AUTO_TEST_CASE(followsRequestsForEvacuations)
{
    start();
    waitForZones({zoneA});
    BOOST_TEST(configurationVersion() == 1);
    StoreRow otherPart = row("evacuate/c", 11);
    otherPart.part = "p";
    answerNext(StoreRows{
            {row("evacuate/b", 11), otherPart, row("evacuate/", 11), row("evacuated", 11)},
            11,
            false});
    waitForZones({zoneA, zoneB});
    answerNext(StoreRows{{row("evacuate/a", 12, true)}, 12, false});
    waitForZones({zoneB});
}

// Guards against a VM that stops because nothing changes in the operator's table.
BOOST_AUTO_TEST_CASE(renewsTheAgeWithAnEmptyAnswer)
{
    start();
    waitForZones({zoneA});
    std::optional<TimePoint> first;
    onThread([&] { first = loop.dispatcher().status().evacuationsAsOf; });
    BOOST_REQUIRE(first.has_value());
    waitUntil([&] { return loop.dispatcher().status().evacuationsAsOf > first; });
    BOOST_TEST(wholeReads() == 1);
    BOOST_TEST((readOnThread([this] { return evacuatedZones(); }) == std::set{zoneA}));
}

// Guards against keeping a request whose removal was lost with the history of the store.
BOOST_AUTO_TEST_CASE(withdrawsARequestThatAWholeReadLacks)
{
    start();
    waitForZones({zoneA});
    onThread([&] { store.whole = {{row("config", 1), row("evacuate/b", 20)}, 20, false}; });
    answerNext(StoreFailure::HistoryGone);
    waitForZones({zoneB});
    BOOST_TEST(wholeReads() == 2);
}

// Guards against a full answer of the store that hides later rows.
BOOST_AUTO_TEST_CASE(readsAllAfterAFullAnswer)
{
    start();
    waitForZones({zoneA});
    onThread([&] { store.whole = {{row("config", 1)}, 30, false}; });
    answerNext(StoreRows{{row("evacuate/b", 25)}, 30, true});
    waitForZones({});
}

// Guards against a configuration that is missed or repeated beside the requests, and against
// reading on after a failed call from a wrong version.
BOOST_AUTO_TEST_CASE(deliversConfigurationsBesideRequests)
{
    start();
    waitForZones({zoneA});
    answerNext(StoreFailure::NoAnswer);
    answerNext(StoreRows{{row("config", 7), row("evacuate/a", 12, true)}, 12, false});
    waitForZones({});
    BOOST_TEST(configurationVersion() == 7);
    BOOST_TEST(wholeReads() == 1);
}

// Guards against a VM that other VMs take for failed because it reads the rows of the members over
// a slow link: its own row must be written meanwhile.
BOOST_AUTO_TEST_CASE(writesItsRowWhileTheMembersAreRead)
{
    onThread([&] { store.heldTable = "members"; });
    start();
    waitUntil([&] { return store.writes["members"] >= 4; });
    BOOST_TEST(readOnThread([this] { return store.wholeReads["members"]; }) == 0);
    onThread([&] { store.heldTable.clear(); });
    waitUntil([&] { return store.wholeReads["members"] > 0; });
}

// Guards against repeated full reads of a table that saturate a slow link.
BOOST_AUTO_TEST_CASE(delaysFullReadsAfterFailedReads)
{
    const std::set<std::string> tables{operatorTable, "upstreams", "members", "keepers-z"};
    onThread([&] { store.failingTables = tables; });
    start();
    for (const std::string &it : tables) {
        checkDelays(it);
    }
    onThread([&] { store.failingTables.clear(); });
    waitForZones({zoneA});
}

// Guards against starts by a list of any age on a VM that the store turns away while it serves the
// VMs of other zones.
BOOST_AUTO_TEST_CASE(asksOtherZonesForTheListWhileTheStoreTurnsItAway)
{
    onThread([&] {
        store.upstreams = {{row("u1", 9)}, 10, false};
        store.turnedAwayTables = {"upstreams"};
    });
    startWithPeer();
    waitUntil([&] { return !peers.all<fleet::UpstreamChangesRequest>().empty(); });
    BOOST_TEST(readOnThread([&] { return peers.all<fleet::UpstreamChangesRequest>()[0].version; })
               == 10);
    receive(fleet::UpstreamChanges{10, 12, Duration{}, {upstream("u2")}, {}});
    waitUntil([&] { return loop.dispatcher().status().knownUpstreams == 2; });
}

// Guards against changes of another zone that replace those that the own zone has read.
BOOST_FIXTURE_TEST_CASE(ignoresChangesOfOtherZonesWhileItsListIsRecent, RecentListFixture)
{
    onThread([&] { store.upstreams = {{row("u1", 9)}, 10, false}; });
    startWithPeer();
    waitUntil([&] { return loop.dispatcher().status().knownUpstreams == 1; });
    receive(fleet::UpstreamChanges{10, 12, Duration{}, {upstream("u2")}, {}});
    // The answer shows that the message before the request was handled.
    receive(fleet::UpstreamChangesRequest{10});
    waitUntil([&] { return !peers.all<fleet::UpstreamChanges>().empty(); });
    BOOST_TEST(knownUpstreams() == 1);
}

// Guards against a VM of another zone that leaves such a request without an answer.
BOOST_FIXTURE_TEST_CASE(answersRequestsForTheChangesOfTheList, RecentListFixture)
{
    onThread([&] { store.upstreams = {{row("u1", 9)}, 10, false}; });
    startWithPeer();
    waitUntil([&] { return loop.dispatcher().status().knownUpstreams == 1; });
    receive(fleet::UpstreamChangesRequest{10});
    waitUntil([&] { return !peers.all<fleet::UpstreamChanges>().empty(); });
    const auto changes = readOnThread([&] { return peers.all<fleet::UpstreamChanges>()[0]; });
    BOOST_TEST(changes.after == 10);
    BOOST_TEST(changes.version == 10);
}

// Guards against full reads without a pause when the store answers each read of changes by the loss
// of its history.
BOOST_AUTO_TEST_CASE(delaysFullReadsWhileTheHistoryIsLost)
{
    onThread([&] { store.script.assign(5, StoreFailure::HistoryGone); });
    start();
    checkDelays(operatorTable);
}

BOOST_AUTO_TEST_SUITE_END()
