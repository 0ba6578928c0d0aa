/*
 * The order lease of a failure domain, agreed on through the log alone, and an engine that executes orders.
 *
 * Models `stepLease` (a record is valid only directly after the last record that its writer knew; a claim waits for
 * the full lease time; the lease is measured from when it was requested) and `fencingTokenForOrder` of packages/fleet, and the
 * engine's check of fencing numbers. Two daemons, discrete time, reads and appends with any delay, lost appends,
 * suspensions at any point: a process that is not scheduled is suspended.
 *
 * Properties: there are never two holders; an engine that checks fencing numbers never executes an order of an older
 * lease after one of a newer lease.
 *
 * Each of these removes one guard:
 * -DNO_AFTER removes the comparison of offsets: two daemons hold the lease at once.
 * -DNO_WAIT lets a daemon claim without waiting until the former holder's lease has expired: two daemons hold it at
 * once.
 * -DNO_FENCING removes the engine's check: an order sent before a suspension is executed after one of a newer holder.
 */
#define TTL 2
#define MAX_TIME 7
#define MAX_LOG 3
#define NONE 7

byte now = 0;
byte logLength = 0;
byte logWriter[MAX_LOG];
byte logAfter[MAX_LOG];      /* offset + 1 of the last record known to the writer; 0: none */
bool logIsClaim[MAX_LOG];
byte logFencing[MAX_LOG];    /* offset + 1 of the claim */

/* The append of each daemon: in transit, or stored at an offset. */
bool inTransit[2];
bool inTransitIsClaim[2];
byte inTransitAfter[2];
byte inTransitFencing[2];
byte storedAt[2] = NONE;

byte heldUntil[2];           /* 0: not held */
byte engineFencing = 0;
byte executedFencing = 0;

#ifdef NO_AFTER
#define RIGHT_BEHIND(offset) true
#else
#define RIGHT_BEHIND(offset) (logAfter[offset] == offset)
#endif

#ifdef NO_WAIT
#define FORMER_IS_OVER true
#else
#define FORMER_IS_OVER (now >= lastRecordAt + TTL + 1)
#endif

inline request(claim, fencing) {
    requestedAt = now;
    isRequested = true;
    inTransit[self] = true;
    inTransitIsClaim[self] = claim;
    inTransitAfter[self] = next;
    inTransitFencing[self] = fencing;
    storedAt[self] = NONE
}

proctype Daemon(byte self) {
    byte next = 0;
    byte holder = NONE;
    byte holderFencing = 0;
    byte lastRecordAt = 0;
    byte requestedAt = 0;
    bool isRequested = false;
    byte sentFencing = 0;
    do
    :: now >= MAX_TIME -> break
    :: atomic {
        next < logLength ->
        if
        :: RIGHT_BEHIND(next) && (logIsClaim[next] || holder == NONE || logFencing[next] == holderFencing) ->
            holder = logWriter[next];
            holderFencing = logFencing[next];
            lastRecordAt = now;
            if
            :: holder == self && isRequested && storedAt[self] == next -> heldUntil[self] = requestedAt + TTL
            :: holder != self -> heldUntil[self] = 0
            :: else -> skip
            fi
        :: else -> skip
        fi;
        if
        :: isRequested && storedAt[self] == next -> isRequested = false
        :: else -> skip
        fi;
        next++
    }
    :: atomic { isRequested && !inTransit[self] && storedAt[self] == NONE -> isRequested = false }
    :: atomic { !isRequested && heldUntil[self] <= now && FORMER_IS_OVER -> request(true, 0) }
    :: atomic { !isRequested && heldUntil[self] > now && holder == self -> request(false, holderFencing) }
    :: atomic { heldUntil[self] > now && holder == self -> sentFencing = holderFencing };
        /* The process may be suspended here, with its order in transit. */
        atomic {
#ifndef NO_FENCING
            if
            :: sentFencing >= engineFencing -> engineFencing = sentFencing
            :: else -> sentFencing = 0
            fi;
#endif
            if
            :: sentFencing > 0 -> assert(sentFencing >= executedFencing); executedFencing = sentFencing
            :: else -> skip
            fi;
            sentFencing = 0
        }
    od
}

/* Stores each append at any later time, or loses it. */
active proctype Network() {
    byte who = 0;
    do
    :: now >= MAX_TIME -> break
    :: atomic {
        inTransit[0] || inTransit[1] ->
        if
        :: inTransit[0] -> who = 0
        :: inTransit[1] -> who = 1
        fi;
        inTransit[who] = false;
        if
        :: logLength < MAX_LOG ->
            logWriter[logLength] = who;
            logAfter[logLength] = inTransitAfter[who];
            logIsClaim[logLength] = inTransitIsClaim[who];
            logFencing[logLength] = (inTransitIsClaim[who] -> logLength + 1 : inTransitFencing[who]);
            storedAt[who] = logLength;
            logLength++
        :: skip
        fi;
        who = 0
    }
    od
}

active proctype Clock() {
    do
    :: atomic {
        now < MAX_TIME -> now++;
        assert(!(heldUntil[0] > now && heldUntil[1] > now))
    }
    :: else -> break
    od
}

active proctype Monitor() {
    end: atomic {
        heldUntil[0] > now && heldUntil[1] > now -> assert(false)
    }
}

init {
    atomic { run Daemon(0); run Daemon(1) }
}
