/*
 * The order lease of a failure domain, agreed through the log alone, and an engine that takes orders.
 *
 * Models `stepLease` (records count only right behind the last one their writer knew; claims wait for the lease's whole
 * time; holding counts from when it was asked for) and `fencingTokenForOrder` of packages/fleet, and the engine's check of fencing
 * numbers. Two daemons, discrete time, reads and appends of any lateness, lost appends, pauses anywhere: a process that
 * is not scheduled is a process that is paused.
 *
 * Holds: never two holders; an engine that checks never executes an order of an older lease after a newer one's.
 * -DNO_AFTER takes the comparison of offsets away: two daemons hold the lease at once.
 * -DNO_WAIT lets a daemon claim without waiting for the former holder's time: two daemons hold the lease at once.
 * -DNO_FENCING takes the engine's check away: an order sent before a pause is executed after a newer holder's.
 */
#define TTL 2
#define MAX_TIME 7
#define MAX_LOG 3
#define NONE 7

byte now = 0;
byte logLength = 0;
byte logWriter[MAX_LOG];
byte logAfter[MAX_LOG];      /* 0: before the first record, else offset + 1 of the last one known */
bool logIsClaim[MAX_LOG];
byte logFencing[MAX_LOG];    /* offset + 1 of the claim */

/* The append of each daemon that is on its way, or has landed at an offset. */
bool flying[2];
bool flyingIsClaim[2];
byte flyingAfter[2];
byte flyingFencing[2];
byte landedAt[2] = NONE;

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
#define FORMER_IS_OVER (now >= quietSince + TTL + 1)
#endif

inline ask(claim, fencing) {
    askedAt = now;
    asked = true;
    flying[self] = true;
    flyingIsClaim[self] = claim;
    flyingAfter[self] = next;
    flyingFencing[self] = fencing;
    landedAt[self] = NONE
}

proctype Daemon(byte self) {
    byte next = 0;
    byte holder = NONE;
    byte holderFencing = 0;
    byte quietSince = 0;
    byte askedAt = 0;
    bool asked = false;
    byte sentFencing = 0;
    do
    :: now >= MAX_TIME -> break
    :: atomic {
        next < logLength ->
        if
        :: RIGHT_BEHIND(next) && (logIsClaim[next] || holder == NONE || logFencing[next] == holderFencing) ->
            holder = logWriter[next];
            holderFencing = logFencing[next];
            quietSince = now;
            if
            :: holder == self && asked && landedAt[self] == next -> heldUntil[self] = askedAt + TTL
            :: holder != self -> heldUntil[self] = 0
            :: else -> skip
            fi
        :: else -> skip
        fi;
        if
        :: asked && landedAt[self] == next -> asked = false
        :: else -> skip
        fi;
        next++
    }
    :: atomic { asked && !flying[self] && landedAt[self] == NONE -> asked = false }
    :: atomic { !asked && heldUntil[self] <= now && FORMER_IS_OVER -> ask(true, 0) }
    :: atomic { !asked && heldUntil[self] > now && holder == self -> ask(false, holderFencing) }
    :: atomic { heldUntil[self] > now && holder == self -> sentFencing = holderFencing };
        /* The process may be paused here, with its order on the way. */
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

/* Lands each append at any later time, or loses it. */
active proctype Network() {
    byte who = 0;
    do
    :: now >= MAX_TIME -> break
    :: atomic {
        flying[0] || flying[1] ->
        if
        :: flying[0] -> who = 0
        :: flying[1] -> who = 1
        fi;
        flying[who] = false;
        if
        :: logLength < MAX_LOG ->
            logWriter[logLength] = who;
            logAfter[logLength] = flyingAfter[who];
            logIsClaim[logLength] = flyingIsClaim[who];
            logFencing[logLength] = (flyingIsClaim[who] -> logLength + 1 : flyingFencing[who]);
            landedAt[who] = logLength;
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
