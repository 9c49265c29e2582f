/* At-most-once start of one job whose id is an opaque key (docs/design.md, section 4).
 *
 * Three incarnations of entry VMs; 0 holds the key's range at first. Each may lose its link to the
 * platform, lose replies of the platform, be paused between two steps, or crash; a replacement is
 * one of the other incarnations. The caller submits to any of them as long as the key is valid.
 * Time is a global counter, which covers pauses; drift is covered by the extra tick that a watcher
 * waits. A macro in capitals switches off one rule of the protocol; the check must then fail.
 */

#define vms 3
#define lease 1
#define keyValidity 2
#define maxTime 5

mtype = { none, accepted, ended };
mtype = { complete, notRun, unknown };

byte now;

/* The platform's table. watchedSince[n] is when n first read the present lease row; a write of the
 * row resets it, since the next read of n then sees another version. */
#define notWatched 100
byte holder;
byte watchedSince[vms] = notWatched;

inline writeLeaseRow() {
    watchedSince[0] = notWatched;
    watchedSince[1] = notWatched;
    watchedSince[2] = notWatched
}

/* What really happened. */
byte starts;
bool saidNotRun;
bool saidComplete;

/* The caller's submissions. */
bool submitted;
byte firstSubmission;
byte inFlight[vms];
byte sentSubmissions;

inline answer(outcome) {
    if
    :: outcome == notRun ->
        assert(starts == 0);
        saidNotRun = true
    :: outcome == complete ->
        assert(starts == 1);
        saidComplete = true
    :: else -> skip
    fi
}

inline deliverable(ok) {
    /* A request that is read later than the key's validity is outside the contract. */
#ifdef LATE_DELIVERY
    ok = true
#else
    ok = (now <= firstSubmission + keyValidity)
#endif
}

proctype Vm(byte self)
{
    bool holds = (self == 0);
    byte leaseUntil = (self == 0 -> lease : 0);
    byte quarantineUntil = 0;
    mtype record = none;
    mtype result = unknown;
    byte forgetAt = 0;
    byte sentAt = 255;
    bool mayAccept;
    bool inQuarantine;
    bool ok;
end:
    do
    /* Renews the lease; counted from before the request. */
    :: atomic { holds && sentAt == 255 && leaseUntil < now + lease -> sentAt = now }
    :: atomic { sentAt != 255 ->
        if
        :: holds && holder == self -> writeLeaseRow(); leaseUntil = sentAt + lease
        :: holder != self -> holds = false; leaseUntil = 0
        :: skip /* no reply; a write that took effect would only delay the watchers */
        fi;
        sentAt = 255 }
    /* Watches the holder's lease row and takes the range over. */
    :: atomic { !holds && holder == self -> /* a takeover whose reply was lost */
        holds = true; quarantineUntil = now + keyValidity; leaseUntil = 0 }
    :: atomic { !holds && holder != self && watchedSince[self] == notWatched ->
        watchedSince[self] = now }
#ifdef TAKE_OVER_EARLY
    :: atomic { !holds && holder != self && watchedSince[self] != notWatched ->
#else
    :: atomic { !holds && holder != self && now > watchedSince[self] + lease ->
#endif
        holder = self; writeLeaseRow();
        if
        :: holds = true; leaseUntil = now + lease;
#ifdef SKIP_QUARANTINE
            quarantineUntil = 0
#else
            quarantineUntil = now + keyValidity
#endif
        :: skip /* the reply is lost */
        fi }
    /* Reads a submission and its own standing, then may be paused. */
    :: atomic { inFlight[self] > 0 -> inFlight[self]--; deliverable(ok);
#ifdef NO_LEASE_CHECK
        mayAccept = holds;
#else
        mayAccept = holds && now < leaseUntil;
#endif
        inQuarantine = now < quarantineUntil };
        /* A pause may fall here. */
        atomic {
            if
            :: !ok -> skip
            :: ok && record == ended -> answer(result)
            :: ok && record == accepted -> skip
            :: ok && record == none && mayAccept && !inQuarantine ->
                forgetAt = now + keyValidity + 1;
                if
                :: record = accepted
                :: record = ended; result = notRun; answer(notRun)
                fi
            :: ok && record == none && mayAccept && inQuarantine -> answer(unknown)
            :: ok && record == none && !mayAccept && holder != self ->
                if
                :: inFlight[holder]++
                :: answer(unknown) /* the link is down */
                fi
            :: ok && record == none && !mayAccept ->
#ifdef LAPSED_SAYS_NOT_RUN
                record = ended; result = notRun; forgetAt = now + keyValidity + 1; answer(notRun)
#else
                answer(unknown)
#endif
            fi;
            ok = false; mayAccept = false; inQuarantine = false
        }
    /* Starts the accepted job's task; it may have been paused for long. */
    :: atomic { record == accepted ->
        starts++;
        assert(starts <= 1);
        assert(!saidNotRun);
        record = ended; result = complete; answer(complete) }
#ifdef FORGET_EARLY
    :: atomic { record == ended -> record = none }
#else
    :: atomic { record == ended && now >= forgetAt -> record = none }
#endif
    :: atomic { holds || record != none -> /* crash */
        holds = false; leaseUntil = 0; quarantineUntil = 0; record = none; result = unknown;
        forgetAt = 0; sentAt = 255; watchedSince[self] = notWatched; inFlight[self] = 0; break }
    od
}

active proctype Caller()
{
end:
    do
    :: atomic { sentSubmissions < 2 && (!submitted || now <= firstSubmission + keyValidity) ->
        if
        :: !submitted -> submitted = true; firstSubmission = now
        :: else -> skip
        fi;
        sentSubmissions++;
        if
        :: inFlight[0]++
        :: inFlight[1]++
        :: inFlight[2]++
        fi }
    od
}

active proctype Clock()
{
end:
    do
    :: now < maxTime -> now++
    od
}

init {
    atomic { run Vm(0); run Vm(1); run Vm(2) }
}
