#pragma once

namespace rattandock::core {

/// Rules of the at-most-once contract. A test switches a rule off to verify that it detects the
/// resulting fault. The rules are not part of DispatcherOptions, so that no settings file can
/// switch them off.
struct SafetyRules
{
    /// Job records are kept until they expire.
    bool keepRecords = true;
    /// A task whose connection was lost fails instead of being sent again.
    bool failAfterReset = true;
    /// A refusal is recorded like any other outcome.
    bool recordRefusals = true;
    /// A key range taken over from a lost holder is quarantined: it starts no job for the duration
    /// of the key validity.
    bool quarantine = true;
    /// Records are handed over only after the point from which no task can be started any more.
    bool sealBeforeHandover = true;
    /// A sealed set answers for an id without a record only if the set was received completely.
    bool requireCompleteSet = true;
    /// A sealed set does not answer for a token so old that its record may have expired.
    bool checkTokenAge = true;
    /// No new key is accepted under an expired lease.
    bool checkLease = true;
    /// A key range is taken over only after the holder's lease row has been unchanged for the lease
    /// duration. If switched off, two renewal intervals suffice.
    bool watchLease = true;
    /// After a pause, the VM answers `unknown` to keys whose submission may have waited during the
    /// pause.
    bool answerUnknownAfterPause = true;
};

} // namespace rattandock::core
