#include "rattandock/adapters/peer_codec.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>
#include <rapidcheck.h>

namespace {

/// The largest allocation of this thread since it was last set to 0.
thread_local std::size_t largestAllocation = 0;

} // namespace

// Not inlined: GCC reports malloc() and free() in inlined operators as mismatched.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    largestAllocation = std::max(largestAllocation, size);
    if (void *const memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc{};
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

using namespace rattandock;
using namespace rattandock::adapters;

namespace {

const rc::detail::TestParams propertyParameters{20261204, 300, 40};

std::string text()
{
    return *rc::gen::arbitrary<std::string>();
}

std::uint64_t number()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

std::uint32_t shortNumber()
{
    return *rc::gen::arbitrary<std::uint32_t>();
}

std::size_t below(std::size_t bound)
{
    // inRange() scales with the size; at a small one it never reaches the upper values.
    return *rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, bound));
}

Duration duration()
{
    return Duration{static_cast<std::int64_t>(number())};
}

template <typename Make>
auto listOf(Make make)
{
    std::vector<decltype(make())> list;
    const std::size_t size = below(8);
    while (list.size() < size) {
        list.push_back(make());
    }
    return list;
}

core::JobOutcome outcomeValue()
{
    switch (below(4)) {
    case 0:
        return core::Complete{listOf(text)};
    case 1:
        return core::Failed{static_cast<core::FailureReason>(below(core::failureReasonCount)),
                            listOf([] { return TaskIndex{shortNumber()}; })};
    case 2: {
        core::NotRun it{static_cast<core::RefusalReason>(below(core::refusalReasonCount)), {}};
        if (below(2) == 1) {
            it.retryAfter = duration();
        }
        return it;
    }
    default:
        return core::Unknown{static_cast<core::UnknownReason>(below(core::unknownReasonCount))};
    }
}

core::JobSpec job()
{
    const auto task = [] {
        return core::TaskSpec{
                text(),
                duration(),
                {Cores{shortNumber()}, Megabytes{shortNumber()}, Accelerators{shortNumber()}}};
    };
    return {JobId{text()}, TeamId{text()}, duration(), listOf(task)};
}

std::vector<core::SlotEntry> slots()
{
    return listOf([] { return core::SlotEntry{UpstreamId{text()}, shortNumber(), number()}; });
}

fleet::FleetJob fleetJob()
{
    return {JobId{text()},
            fleet::QueueId{text()},
            fleet::ServiceId{text()},
            text(),
            shortNumber(),
            {fleet::MilliCores{shortNumber()}, Megabytes{shortNumber()},
             Accelerators{shortNumber()}},
            duration(),
            // The prediction is not sent.
            {},
            text(),
            RackId{text()},
            shortNumber(),
            duration(),
            duration(),
            // Nor is the stretch.
            0,
            shortNumber(),
            shortNumber()};
}

fleet::UpstreamEntry upstreamEntry()
{
    return {UpstreamId{text()},
            fleet::ServiceId{text()},
            ZoneId{text()},
            text(),
            below(2) == 1,
            {fleet::MilliCores{shortNumber()}, Megabytes{shortNumber()},
             Accelerators{shortNumber()}},
            listOf(text)};
}

core::PeerMessage messageOfType(std::size_t type)
{
    switch (type) {
    case 0:
        return core::Heartbeat{VmId{"vm-1"},
                               Incarnation{77},
                               ZoneId{text()},
                               static_cast<std::int64_t>(number()),
                               ConfigurationVersion{number()},
                               shortNumber(),
                               shortNumber(),
                               below(2) == 1,
                               {listOf([] {
                                    return fleet::FreeCapacity{shortNumber(), shortNumber()};
                                }),
                                shortNumber(), number(), number()}};
    case 1:
        return core::ForwardJob{number(), Incarnation{number()}, job()};
    case 2:
        return core::ForwardedAnswer{number(), outcomeValue()};
    case 3:
        return core::SlotRequest{slots()};
    case 4:
        return core::SlotGrant{slots()};
    case 5:
        return core::SlotRelease{slots()};
    case 6:
        return core::HandoverRecords{
                VmId{text()},
                Incarnation{number()},
                Incarnation{number()},
                TimePoint{duration()},
                duration(),
                listOf([] { return Incarnation{number()}; }),
                shortNumber(),
                listOf([] {
                    core::HandoverRecord record{JobId{text()}, {}, outcomeValue()};
                    if (below(2) == 1) {
                        record.digest = core::SpecDigest{number()};
                    }
                    return record;
                }),
                below(2) == 1};
    case 7:
        return core::HandoverPointer{Incarnation{number()}, VmId{text()}};
    case 8:
        return core::ConfigurationDelta{ConfigurationVersion{number()}, text()};
    case 9:
        return fleet::TaskOffer{number(), fleetJob(), listOf(shortNumber), shortNumber()};
    case 10:
        return fleet::TaskOfferEnded{
                number(), static_cast<fleet::OfferResult>(below(fleet::offerResultCount))};
    case 11:
        return fleet::TaskOfferWithdrawn{number()};
    case 12:
        return fleet::UpstreamChanges{number(), number(), duration(), listOf(upstreamEntry),
                                      listOf([] { return UpstreamId{text()}; })};
    case 13:
        return fleet::EvacuationState{number(), listOf([] { return ZoneId{text()}; }), duration()};
    case 14:
        return fleet::QueuedTaskOffer{{number(), fleetJob(), listOf(shortNumber), shortNumber()},
                                      duration()};
    case 15:
        return fleet::TasksReturned{number(), listOf(shortNumber), shortNumber()};
    case 16:
        return fleet::UpstreamSuspicion{
                UpstreamId{text()},
                fleet::UpstreamProcessStart{number()},
                {static_cast<fleet::TrustLevel>(below(fleet::trustLevelCount)), shortNumber(),
                 duration()},
                duration()};
    case 17:
        return fleet::ColdUpstreams{listOf([] {
            return fleet::ColdUpstream{UpstreamId{text()}, duration()};
        })};
    default:
        return fleet::UpstreamChangesRequest{number()};
    }
}

// Compares field by field without the codec's own table, so that a field missing there is seen.
bool same(const core::Heartbeat &a, const core::Heartbeat &b)
{
    const auto &[vm, incarnation, zone, time, configuration, queued, running, draining, room] = a;
    return vm == b.vm && incarnation == b.incarnation && zone == b.zone && time == b.monotonicTime
           && configuration == b.configuration && queued == b.queuedTasks
           && running == b.runningTasks && draining == b.draining && room.free == b.room.free
           && room.fastestPercent == b.room.fastestPercent && room.usableCpu == b.room.usableCpu
           && room.queuedWork == b.room.queuedWork;
}

bool same(const core::ForwardJob &a, const core::ForwardJob &b)
{
    const auto &[number, incarnation, job] = a;
    return number == b.forwardNumber && incarnation == b.expectedIncarnation && job == b.job;
}

bool same(const core::ForwardedAnswer &a, const core::ForwardedAnswer &b)
{
    const auto &[number, outcome] = a;
    return number == b.forwardNumber && outcome == b.outcome;
}

template <typename T>
requires requires(T it)
{
    it.entries;
}
bool same(const T &a, const T &b)
{
    const auto &[entries] = a;
    return std::ranges::equal(entries, b.entries, [](const auto &x, const auto &y) {
        const auto &[upstream, count, time] = x;
        return upstream == y.upstream && count == y.count && time == y.measuredTime;
    });
}

bool same(const core::HandoverRecords &a, const core::HandoverRecords &b)
{
    const auto &[vm, incarnation, sender, issuedAfter, keepFor, heldSets, batch, records, last] = a;
    return vm == b.sealedVm && incarnation == b.sealedIncarnation && sender == b.sender
           && issuedAfter == b.coversTokensIssuedAfter && keepFor == b.keepFor
           && heldSets == b.heldSets && batch == b.batch && last == b.last
           && std::ranges::equal(records, b.records, [](const auto &x, const auto &y) {
                  const auto &[id, digest, outcome] = x;
                  return id == y.id && digest == y.digest && outcome == y.outcome;
              });
}

bool same(const core::HandoverPointer &a, const core::HandoverPointer &b)
{
    const auto &[incarnation, successor] = a;
    return incarnation == b.sealedIncarnation && successor == b.successor;
}

bool same(const core::ConfigurationDelta &a, const core::ConfigurationDelta &b)
{
    const auto &[version, changes] = a;
    return version == b.version && changes == b.changes;
}

bool same(const fleet::TaskOffer &a, const fleet::TaskOffer &b)
{
    const auto &[number, job, tasks, firstRun] = a;
    return number == b.number && job == b.job && tasks == b.tasks && firstRun == b.firstRun;
}

bool same(const fleet::TaskOfferEnded &a, const fleet::TaskOfferEnded &b)
{
    const auto &[number, result] = a;
    return number == b.number && result == b.result;
}

bool same(const fleet::TaskOfferWithdrawn &a, const fleet::TaskOfferWithdrawn &b)
{
    const auto &[number] = a;
    return number == b.number;
}

bool same(const fleet::QueuedTaskOffer &a, const fleet::QueuedTaskOffer &b)
{
    const auto &[offer, startWithin] = a;
    return same(offer, b.offer) && startWithin == b.startWithin;
}

bool same(const fleet::TasksReturned &a, const fleet::TasksReturned &b)
{
    const auto &[number, tasks, nextRun] = a;
    return number == b.number && tasks == b.tasks && nextRun == b.nextRun;
}

bool same(const fleet::UpstreamChanges &a, const fleet::UpstreamChanges &b)
{
    const auto &[after, version, age, present, removed] = a;
    return after == b.after && version == b.version && age == b.age && present == b.present
           && removed == b.removed;
}

bool same(const fleet::EvacuationState &a, const fleet::EvacuationState &b)
{
    const auto &[version, zones, age] = a;
    return version == b.version && zones == b.zones && age == b.age;
}

bool same(const fleet::UpstreamSuspicion &a, const fleet::UpstreamSuspicion &b)
{
    const auto &[upstream, processStart, state, age] = a;
    return upstream == b.upstream && processStart == b.processStart && state == b.state
           && age == b.age;
}

bool same(const fleet::ColdUpstreams &a, const fleet::ColdUpstreams &b)
{
    const auto &[upstreams] = a;
    return std::ranges::equal(upstreams, b.upstreams, [](const auto &x, const auto &y) {
        const auto &[upstream, left] = x;
        return upstream == y.upstream && left == y.left;
    });
}

bool same(const fleet::UpstreamChangesRequest &a, const fleet::UpstreamChangesRequest &b)
{
    const auto &[version] = a;
    return version == b.version;
}

bool same(const core::PeerMessage &a, const core::PeerMessage &b)
{
    return a.index() == b.index()
           && std::visit(
                   [&b](const auto &it) {
                       return same(it, std::get<std::decay_t<decltype(it)>>(b));
                   },
                   a);
}

PeerEnvelope envelopeOf(core::PeerMessage message)
{
    return {VmId{"vm-1"}, Incarnation{77}, std::move(message)};
}

std::string encoded(core::PeerMessage message)
{
    return encodePeerMessage(envelopeOf(std::move(message))).value();
}

/// The name of the error, so that a failing check prints it.
std::string_view refusalOf(std::string_view bytes)
{
    const auto decoded = decodePeerMessage(bytes);
    BOOST_REQUIRE(!decoded);
    return name(decoded.error());
}

const std::string delta = encoded(core::ConfigurationDelta{ConfigurationVersion{3}, "abc"});

std::string changed(std::size_t at, char to)
{
    std::string bytes = delta;
    bytes.at(at) = to;
    return bytes;
}

template <typename Property>
void checkProperty(Property property)
{
    const auto result = rc::detail::checkTestable(std::move(property), rc::detail::TestMetadata{},
                                                  propertyParameters);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    rc::detail::SuccessResult success{};
    BOOST_TEST(result.match(success), message.str());
    BOOST_TEST(success.numSuccess == propertyParameters.maxSuccess);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerCodecTest)

// Guards against a field that is left out, swapped or cut in any message type.
BOOST_AUTO_TEST_CASE(everyMessageComesBackAsItWas)
{
    checkProperty([] {
        for (std::size_t type = 0; type < std::variant_size_v<core::PeerMessage>; ++type) {
            const PeerEnvelope sent = envelopeOf(messageOfType(type));
            const auto bytes = encodePeerMessage(sent);
            RC_ASSERT(bytes.has_value());
            const auto received = decodePeerMessage(bytes.value());
            RC_ASSERT(received.has_value());
            RC_ASSERT(received.value().sender == sent.sender);
            RC_ASSERT(received.value().incarnation == sent.incarnation);
            RC_ASSERT(same(sent.message, received.value().message));
        }
    });
}

// Guards against an exception, a crash or a large allocation on input that a fault has changed.
BOOST_AUTO_TEST_CASE(damagedBytesNeverEscapeTheDecoder)
{
    checkProperty([] {
        std::string bytes = encoded(messageOfType(below(std::variant_size_v<core::PeerMessage>)));
        for (std::size_t n = below(4); n > 0; --n) {
            bytes[below(bytes.size())] = static_cast<char>(below(256));
        }
        bytes.resize(bytes.size() - below(bytes.size()));
        largestAllocation = 0;
        const auto decoded = decodePeerMessage(bytes);
        RC_ASSERT(largestAllocation <= maxPeerMessageBytes);
        if (!decoded) {
            RC_ASSERT(!name(decoded.error()).empty());
        }
    });
}

// Guards against a truncated message that is taken for a whole one.
BOOST_AUTO_TEST_CASE(refusesEveryTruncation)
{
    for (std::size_t n = 0; n < delta.size(); ++n) {
        BOOST_TEST(!decodePeerMessage(std::string_view{delta}.substr(0, n)).has_value());
    }
    BOOST_TEST(refusalOf("RDPM") == "too-short");
}

// Guards against a header that is not checked.
BOOST_AUTO_TEST_CASE(refusesAWrongHeader)
{
    constexpr char firstUnknownType = std::variant_size_v<core::PeerMessage> + 1;
    BOOST_TEST(refusalOf(changed(0, 'X')) == "wrong-magic");
    BOOST_TEST(refusalOf(changed(4, 3)) == "wrong-version");
    BOOST_TEST(refusalOf(changed(6, 0)) == "unknown-type");
    BOOST_TEST(refusalOf(changed(6, firstUnknownType)) == "unknown-type");
    BOOST_TEST(refusalOf(changed(7, 0)) == "wrong-origin");
    BOOST_TEST(refusalOf(changed(8, 0)) == "wrong-size");
    BOOST_TEST(refusalOf(delta + "x") == "wrong-size");
}

// Guards against bytes after the body that the header's size covers.
BOOST_AUTO_TEST_CASE(refusesTrailingBytes)
{
    std::string bytes = delta + "x";
    ++bytes[8];
    BOOST_TEST(refusalOf(bytes) == "trailing-bytes");
}

// Guards against a message above the bound, in either direction.
BOOST_AUTO_TEST_CASE(refusesMoreThanTheBound)
{
    const std::string large(maxPeerMessageBytes, 'x');
    const auto bytes =
            encodePeerMessage(envelopeOf(core::ConfigurationDelta{ConfigurationVersion{1}, large}));
    BOOST_REQUIRE(!bytes);
    BOOST_TEST(name(bytes.error()) == "too-large");
    BOOST_TEST(refusalOf(large + "x") == "too-large");
}

// Guards against list elements that take more memory than the bound although the bytes are few.
BOOST_AUTO_TEST_CASE(refusesListsThatNeedTooMuchMemory)
{
    const std::size_t count = maxPeerMessageBytes / sizeof(std::string) + 1;
    const core::ForwardedAnswer answer{1, core::Complete{std::vector<std::string>(count)}};
    const auto bytes = encodePeerMessage(envelopeOf(answer));
    BOOST_REQUIRE(!bytes);
    BOOST_TEST(name(bytes.error()) == "too-large");
}

// Guards against an allocation by a length that the body does not have.
BOOST_AUTO_TEST_CASE(refusesALengthBeyondTheBody)
{
    // The length of the text stands in the 8 bytes before its 3 bytes; this makes it 2^32 + 3.
    const std::string bytes = changed(delta.size() - 7, 1);
    largestAllocation = 0;
    BOOST_TEST(refusalOf(bytes) == "malformed");
    BOOST_TEST(largestAllocation <= maxPeerMessageBytes);
}

// Guards against a heartbeat under the name of another VM.
BOOST_AUTO_TEST_CASE(refusesAHeartbeatOfAnotherOrigin)
{
    std::string bytes = encoded(
            core::Heartbeat{VmId{"vm-1"}, Incarnation{77}, ZoneId{"z"}, 0, {}, 0, 0, false, {}});
    bytes.at(20 + 3) = '2';
    BOOST_TEST(refusalOf(bytes) == "wrong-origin");
}

BOOST_AUTO_TEST_SUITE_END()
