/* At-most-once start of one job of two tasks whose id names its home (docs/design.md, section 4).
 *
 * VM 0 is the home, VM 1 its successor after a planned stop, VM 2 another entry VM. Two callers
 * submit the same id up to two times each, to any VM. Submissions may be lost, delayed and
 * reordered; the home may be paused between reading the clock and acting on it, may crash at any
 * step, and may stop as planned; links may be down. A macro with a name in capitals switches off
 * one rule of the protocol; the check must then fail.
 */

#define submissions 4
#define tokenValid 0
#define gracePeriod 1
#define afterGrace 2

mtype = { none, accepted, ended };
mtype = { complete, failed, notRun, unknown };
mtype = { unstarted, sent, done };
mtype = { noReply, completedReply, notStartedReply, lostReply };

byte phase = tokenValid;
byte inFlight[3];
byte sentSubmissions;

/* The home's memory. */
bool homeAlive = true;
bool draining;
bool revoked;
mtype record = none;
mtype result = unknown;
mtype task[2] = unstarted;

/* Requests and replies between the home and the upstreams. */
bool inTransit[2];
mtype reply[2] = noReply;

/* The sealed record set on its way and at the successor. */
bool handoverSent;
bool handoverHeld;
bool pointerKnown;
mtype sealedRecord = none;
mtype sealedResult = unknown;

/* What really happened. */
byte starts[2];
bool saidNotRun;
bool saidComplete;

inline answer(outcome) {
    if
    :: outcome == notRun ->
        assert(starts[0] + starts[1] == 0);
        assert(!saidComplete);
        saidNotRun = true
    :: outcome == complete ->
        assert(starts[0] == 1 && starts[1] == 1);
        saidComplete = true
    :: else -> skip
    fi
}

inline endJob(outcome) {
    record = ended;
    result = outcome;
    answer(outcome)
}

inline giveUp() {
    if
    :: task[0] == unstarted && task[1] == unstarted -> endJob(notRun)
    :: else -> endJob(failed)
    fi
}

inline handleSubmission(seenPhase) {
    if
    :: record == ended -> answer(result)
    :: record == accepted -> skip /* joins the running job */
    :: record == none && seenPhase == afterGrace -> answer(unknown)
    :: record == none && seenPhase == gracePeriod -> answer(notRun)
    :: record == none && seenPhase == tokenValid && revoked -> answer(notRun)
    :: record == none && seenPhase == tokenValid && !revoked ->
        if
        :: draining -> endJob(notRun)
        :: !draining -> record = accepted
        :: !draining ->
#ifdef REFUSE_WITHOUT_RECORD
            answer(notRun)
#else
            endJob(notRun)
#endif
        fi
    fi
}

inline handleReply(n) {
    if
    :: record != accepted -> skip
    :: record == accepted && reply[n] == completedReply ->
        task[n] = done;
        if
        :: task[0] == done && task[1] == done -> endJob(complete)
        :: else -> skip
        fi
    :: record == accepted && reply[n] == notStartedReply -> task[n] = unstarted
    :: record == accepted && reply[n] == lostReply ->
#ifdef RESEND_AFTER_RESET
        task[n] = unstarted
#else
        giveUp()
#endif
    fi;
    reply[n] = noReply
}

inline startTask(n) {
    task[n] = sent;
    inTransit[n] = true
}

active proctype Home()
{
    byte seenPhase;
end:
    do
    :: atomic { homeAlive && inFlight[0] > 0 -> inFlight[0]--; seenPhase = phase };
        /* A pause may fall here. */
        atomic {
            if
            :: homeAlive -> handleSubmission(seenPhase)
            :: else -> skip
            fi
        }
    :: atomic { homeAlive && record == accepted && task[0] == unstarted && !inTransit[0] ->
        startTask(0) }
    :: atomic { homeAlive && record == accepted && task[1] == unstarted && !inTransit[1] ->
        startTask(1) }
    :: atomic { homeAlive && reply[0] != noReply -> handleReply(0) }
    :: atomic { homeAlive && reply[1] != noReply -> handleReply(1) }
    :: atomic { homeAlive && record == accepted -> giveUp() }
    :: atomic { homeAlive && record == none && !revoked -> revoked = true }
#ifdef FORGET_EARLY
    :: atomic { homeAlive && record == ended -> record = none; task[0] = unstarted; task[1] = unstarted }
#else
    :: atomic { homeAlive && record == ended && phase == afterGrace ->
        record = none; task[0] = unstarted; task[1] = unstarted }
#endif
    :: atomic { homeAlive && !draining -> draining = true;
        if
        :: record == accepted && task[0] == unstarted && task[1] == unstarted -> giveUp()
        :: else -> skip
        fi }
#ifdef HAND_OVER_WITHOUT_SEALING
    :: atomic { homeAlive && draining && !handoverSent ->
        sealedRecord = record; sealedResult = result; handoverSent = true }
#else
    :: atomic { homeAlive && draining && record != accepted ->
        sealedRecord = record; sealedResult = result; handoverSent = true; homeAlive = false }
#endif
    :: atomic { homeAlive -> homeAlive = false } /* crash */
    od
}

inline runAttempt(n) {
    inTransit[n] = false;
    if
    :: starts[n]++; reply[n] = completedReply
    :: reply[n] = notStartedReply
    :: starts[n]++; reply[n] = lostReply
    :: reply[n] = lostReply
    fi;
    assert(starts[n] <= 1);
    assert(starts[n] == 0 || !saidNotRun)
}

active proctype Upstream()
{
end:
    do
    :: atomic { inTransit[0] -> runAttempt(0) }
    :: atomic { inTransit[1] -> runAttempt(1) }
    od
}

active proctype Successor()
{
end:
    do
    :: atomic { handoverSent && !handoverHeld -> handoverHeld = true }
    :: atomic { inFlight[1] > 0 -> inFlight[1]--;
        if
        :: handoverHeld && phase == afterGrace -> answer(unknown)
        :: handoverHeld && phase != afterGrace && sealedRecord == ended -> answer(sealedResult)
        :: handoverHeld && phase != afterGrace && sealedRecord != ended -> answer(notRun)
        :: !handoverHeld && homeAlive -> inFlight[0]++
        :: !handoverHeld -> answer(unknown) /* link down or home lost */
        fi }
    :: atomic { handoverHeld -> pointerKnown = true; break } /* crash after it told VM 2 */
    :: atomic { handoverHeld && !pointerKnown -> pointerKnown = true }
    od
}

active proctype OtherVm()
{
end:
    do
    :: atomic { inFlight[2] > 0 -> inFlight[2]--;
        if
        :: pointerKnown -> inFlight[1]++
        :: homeAlive -> inFlight[0]++
        :: answer(unknown)
        fi }
    od
}

active proctype Callers()
{
end:
    do
    :: atomic { sentSubmissions < submissions -> sentSubmissions++;
        if
        :: inFlight[0]++
        :: inFlight[1]++
        :: inFlight[2]++
        fi }
    od
}

active proctype Clock()
{
    phase = gracePeriod;
    phase = afterGrace
}
