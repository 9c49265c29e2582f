#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/job_spec.hpp"
#include "rattandock/fleet/fleet_message.hpp"

namespace rattandock::core {

/// Sent to each peer at an interval of the settings. Size: about 150 B.
struct Heartbeat
{
    VmId vm;
    Incarnation incarnation;
    ZoneId zone;
    /// The sender's monotonic clock in microseconds.
    std::int64_t monotonicTime = 0;
    ConfigurationVersion configuration;
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
    bool draining = false;
    fleet::CapacityReport room;
};

/// A submission passed on to the home or holder of its id. Size: the job plus 40 B.
struct ForwardJob
{
    std::uint64_t forwardNumber = 0;
    Incarnation expectedIncarnation;
    JobSpec job;
};

/// The answer to a forwarded submission. Size: the answer plus 40 B.
struct ForwardedAnswer
{
    std::uint64_t forwardNumber = 0;
    JobOutcome outcome;
};

struct SlotEntry
{
    UpstreamId upstream;
    std::uint32_t count = 0;
    /// Mean measured run time of the released slots in microseconds; 0 in requests and grants.
    std::uint64_t measuredTime = 0;
};

/// Asks the dispatching VM of some upstreams for slots. Size: 24 B an entry.
struct SlotRequest
{
    std::vector<SlotEntry> entries;
};

/// Slots that the receiver may use until it releases them.
struct SlotGrant
{
    std::vector<SlotEntry> entries;
};

/// Slots that the sender no longer uses.
struct SlotRelease
{
    std::vector<SlotEntry> entries;
};

/// One record of a sealed incarnation. Size: 64 B plus the outcome's results.
struct HandoverRecord
{
    JobId id;
    /// Nothing if the id was cancelled before any submission of it arrived.
    std::optional<SpecDigest> digest;
    JobOutcome outcome;
};

/// Records of an incarnation that will never start another task.
struct HandoverRecords
{
    VmId sealedVm;
    Incarnation sealedIncarnation;
    /// Who split the set into batches; batches of two senders do not fit together.
    Incarnation sender;
    /// On the sealed VM's clock. Records of older tokens may have been forgotten before.
    TimePoint coversTokensIssuedAfter;
    /// The receiver may drop the set after this time.
    Duration keepFor{};
    /// Sets that the sealed VM held itself; the receiver needs them before it confirms this one.
    std::vector<Incarnation> heldSets;
    /// Position of this message in the set, from 0.
    std::uint32_t batch = 0;
    std::vector<HandoverRecord> records;
    /// True on the last message of the set.
    bool last = false;
};

/// Tells peers who answers for a sealed incarnation; the successor confirms a set with it.
/// Size: 32 B plus the name.
struct HandoverPointer
{
    Incarnation sealedIncarnation;
    VmId successor;
};

/// Changes that lead to a configuration version. Size: under 2 KB.
struct ConfigurationDelta
{
    ConfigurationVersion version;
    std::string changes;
};

using PeerMessage =
        std::variant<Heartbeat, ForwardJob, ForwardedAnswer, SlotRequest, SlotGrant, SlotRelease,
                     HandoverRecords, HandoverPointer, ConfigurationDelta, fleet::TaskOffer,
                     fleet::TaskOfferEnded, fleet::TaskOfferWithdrawn, fleet::UpstreamChanges>;

/// The stable name of the message's type, used in metrics and logs.
std::string_view name(const PeerMessage &message);

} // namespace rattandock::core
