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

/// Sent to each peer at the configured interval. Size: about 150 B.
struct Heartbeat
{
    VmId vm;
    Incarnation incarnation;
    ZoneId zone;
    /// The sender's monotonic clock in microseconds.
    std::int64_t monotonicTime = 0;
    /// Version of the sender's configuration. On a VM of a fleet, where configurations come from
    /// the store, this field carries fleet::fleetRevision instead: builds without a revision send 0
    /// and ignore the value, and would refuse a heartbeat with a further field.
    ConfigurationVersion configuration;
    std::uint32_t queuedTasks = 0;
    std::uint32_t runningTasks = 0;
    bool draining = false;
    fleet::CapacityReport room;
};

/// A submission forwarded to the home of its id or to the holder of its key range. Size: the job
/// plus 40 B.
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

/// A number of slots of one upstream.
struct SlotEntry
{
    UpstreamId upstream;
    std::uint32_t count = 0;
    /// Mean measured run time of the released slots in microseconds; 0 in requests and grants.
    std::uint64_t measuredTime = 0;
};

/// Asks the dispatching VM of some upstreams for slots. Size: 24 B per entry.
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
    /// `std::nullopt` if the id was cancelled before a submission with this id arrived.
    std::optional<SpecDigest> digest;
    JobOutcome outcome;
};

/// One batch of the records of a sealed incarnation, that is, one that starts no more tasks.
struct HandoverRecords
{
    VmId sealedVm;
    Incarnation sealedIncarnation;
    /// The incarnation that split the set into batches. Batches of different senders can't be
    /// combined, because each sender splits the set in its own way.
    Incarnation sender;
    /// A time on the sealed VM's clock. Records of tokens issued until then may have been removed.
    TimePoint coversTokensIssuedAfter;
    /// How long the receiver must keep the set after it received this message.
    Duration keepFor{};
    /// Sealed sets that the sealed VM had accepted itself. The receiver confirms this set only
    /// after it has accepted all of them.
    std::vector<Incarnation> heldSets;
    /// Position of this message in the set, from 0.
    std::uint32_t batch = 0;
    std::vector<HandoverRecord> records;
    /// True on the last message of the set.
    bool last = false;
};

/// Names the VM that answers for a sealed incarnation. It is sent to the peers, and a successor
/// sends it back to confirm that it has accepted the set. Size: 32 B plus the name.
struct HandoverPointer
{
    Incarnation sealedIncarnation;
    VmId successor;
};

/// The changes that produce a configuration version. Size: under 2 KB.
struct ConfigurationDelta
{
    ConfigurationVersion version;
    std::string changes;
};

using PeerMessage =
        std::variant<Heartbeat, ForwardJob, ForwardedAnswer, SlotRequest, SlotGrant, SlotRelease,
                     HandoverRecords, HandoverPointer, ConfigurationDelta, fleet::TaskOffer,
                     fleet::TaskOfferEnded, fleet::TaskOfferWithdrawn, fleet::UpstreamChanges,
                     fleet::EvacuationState, fleet::QueuedTaskOffer, fleet::TasksReturned,
                     fleet::UpstreamSuspicion, fleet::ColdUpstreams, fleet::UpstreamChangesRequest>;

/// Returns the stable name of the message's type for metrics and logs.
std::string_view name(const PeerMessage &message);

} // namespace rattandock::core
