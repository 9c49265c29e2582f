#pragma once

namespace rattandock::core {

/// Rules of the at-most-once contract that a test may switch off, to see that it finds the fault.
/// Not part of DispatcherOptions, so no settings file can reach them.
struct SafetyRules
{
    /// Records are kept until their time.
    bool keepRecords = true;
    /// A task is not sent again after its connection was lost.
    bool failAfterReset = true;
    /// Refusals are recorded like any other outcome.
    bool recordRefusals = true;
    /// A range taken from a lost holder starts nothing for the key validity.
    bool quarantine = true;
    /// Records are handed over only when no task can start any more.
    bool sealBeforeHandover = true;
    /// A sealed set answers for ids it lacks only when it was received whole.
    bool requireWholeSet = true;
    /// A sealed set does not answer for tokens whose records may have been forgotten.
    bool checkTokenAge = true;
    /// A lapsed lease accepts no new key.
    bool checkLease = true;
    /// A range is taken over only after the holder's lease row was unchanged for the lease, or
    /// for two renewals if off.
    bool watchLease = true;
    /// A VM that was paused answers unknown to keys that may have waited for it.
    bool noticePause = true;
};

} // namespace rattandock::core
