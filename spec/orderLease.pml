/*
 * The order lease on a platform whose store supports conditional appends.
 *
 * Models `stepOrderLease` (a claim is appended only at the known end of the stream; another VM claims once the last
 * record has been there for the holding time (HOLD) plus the time that an order binds an engine (LEASE); the lease is
 * measured from the sending of the claim; a lost answer makes the end unknown; a suspension voids the lease and all
 * claims sent before it) and `orderFence` of packages/router. Two VMs, discrete time, appends that are stored late, or
 * answered late or never, and a VM that is suspended while its clock stands still.
 *
 * Properties: an order follows the last order of another VM no sooner than LEASE and with a higher fence; the fence
 * never goes back.
 *
 * Each of these removes one guard:
 * -DNO_WAIT lets a VM claim without waiting: two VMs alternate in issuing orders.
 * -DNO_CONDITION lets the store append at any end: two VMs claim after the same record.
 * -DNO_PAUSE ignores suspensions: a VM issues orders under an expired lease.
 * -DNO_VOID accepts the answer to a claim sent before a suspension: the time of the suspension is not counted.
 * -DNO_ASKED measures the lease from the answer: it lasts longer than the other VMs wait.
 */
#define HOLD 2
#define LEASE 1
#define MAX_TIME 6
#define MAX_LOG 2
#define MAX_LOST 3
#define NONE 7

byte now = 0;
byte logLength = 0;
byte logHolder[MAX_LOG];

byte lost[2];                /* time that each VM's clock has stood still */
bool unnoticed[2];           /* suspended since the last check for a suspension */
byte suspendedAt[2];         /* own clock + 1 at the last detected suspension */

byte end[2] = NONE;          /* NONE: not known */
byte tail[2] = NONE;         /* offset of the last record known */
byte tailHolder[2];
byte since[2];               /* own clock since which that record is known to be there */
byte confirmed[2];           /* own clock + 1 when the claim was sent; 0: not held */

bool asking[2];
byte askedAt[2];
byte inTransitAt[2] = NONE;  /* condition of the append in transit */
byte storedAt[2] = NONE;     /* offset at which it was stored */
byte lateAt[2] = NONE;       /* condition of an append whose VM no longer waits for it */

byte lastVm = NONE;
byte lastSent = 0;
byte lastFence = 0;

#define CLOCK(vm) (now - lost[vm])
#define HELD(vm) (confirmed[vm] > 0 && CLOCK(vm) - (confirmed[vm] - 1) < HOLD)

#ifdef NO_VOID
#define IS_VOID(vm) false
#else
#define IS_VOID(vm) (askedAt[vm] + 1 <= suspendedAt[vm])
#endif

#ifdef NO_WAIT
#define MAY_CLAIM(vm) true
#else
#define MAY_CLAIM(vm) (tail[vm] == NONE || tailHolder[vm] == vm || CLOCK(vm) >= since[vm] + HOLD + LEASE)
#endif

#ifdef NO_CONDITION
#define AT_END(at) (logLength < MAX_LOG)
#else
#define AT_END(at) (at == logLength && logLength < MAX_LOG)
#endif

proctype Vm(byte self) {
    do
    :: now >= MAX_TIME -> break
    /* The process checks its clocks before any action that would be wrong with outdated state. */
    :: atomic {
        unnoticed[self] -> unnoticed[self] = false;
#ifndef NO_PAUSE
        confirmed[self] = 0;
        suspendedAt[self] = CLOCK(self) + 1
#endif
    }
    :: atomic { !unnoticed[self] && !asking[self] && !HELD(self) && end[self] == NONE ->
        end[self] = logLength;
        if
        :: logLength > 0 && (tail[self] == NONE || logLength - 1 > tail[self]) ->
            tail[self] = logLength - 1;
            tailHolder[self] = logHolder[logLength - 1];
            since[self] = CLOCK(self)
        :: else -> skip
        fi
    }
    :: atomic { self == 0 && !unnoticed[self] && !asking[self] && !HELD(self) && end[self] != NONE && MAY_CLAIM(self) ->
        asking[self] = true;
        askedAt[self] = CLOCK(self);
        inTransitAt[self] = end[self];
        storedAt[self] = NONE
    }
    /* The second VM's calls are answered at once, to keep the search small; only the first VM's are lost or late. */
    :: atomic { self == 1 && !HELD(self) && end[self] != NONE && MAY_CLAIM(self) ->
        if
        :: AT_END(end[self]) ->
            logHolder[logLength] = self;
            tail[self] = logLength;
            tailHolder[self] = self;
            since[self] = CLOCK(self);
            confirmed[self] = CLOCK(self) + 1;
            logLength++;
            end[self] = logLength
        :: else -> end[self] = NONE
        fi
    }
    /* The answer arrives. */
    :: atomic { !unnoticed[self] && asking[self] && storedAt[self] != NONE ->
        asking[self] = false;
        end[self] = storedAt[self] + 1;
        tail[self] = storedAt[self];
        tailHolder[self] = self;
        since[self] = askedAt[self];
        if
        :: IS_VOID(self) -> skip
#ifdef NO_ASKED
        :: else -> confirmed[self] = CLOCK(self) + 1
#else
        :: else -> confirmed[self] = askedAt[self] + 1
#endif
        fi;
        storedAt[self] = NONE
    }
    /* The answer is lost, or the append was refused; an append still in transit may be stored later. */
    :: atomic { asking[self] ->
        asking[self] = false;
        end[self] = NONE;
        storedAt[self] = NONE;
        if
        :: inTransitAt[self] != NONE -> lateAt[self] = inTransitAt[self]; inTransitAt[self] = NONE
        :: else -> skip
        fi
    }
    /* Sends an order; its fence is read directly before sending. */
    :: atomic { !unnoticed[self] && HELD(self) && tailHolder[self] == self ->
        assert(lastVm == NONE || tail[self] >= lastFence);
        assert(lastVm == NONE || lastVm == self || (now - lastSent >= LEASE && tail[self] > lastFence));
        lastVm = self;
        lastSent = now;
        lastFence = tail[self]
    }
    od
}

active proctype Store() {
    byte who = 0;
    do
    :: now >= MAX_TIME -> break
    :: atomic {
        inTransitAt[0] != NONE || inTransitAt[1] != NONE ->
        if
        :: inTransitAt[0] != NONE -> who = 0
        :: inTransitAt[1] != NONE -> who = 1
        fi;
        if
        :: AT_END(inTransitAt[who]) -> logHolder[logLength] = who; storedAt[who] = logLength; logLength++
        :: else -> skip
        fi;
        inTransitAt[who] = NONE;
        who = 0
    }
    :: atomic {
        lateAt[0] != NONE || lateAt[1] != NONE ->
        if
        :: lateAt[0] != NONE -> who = 0
        :: lateAt[1] != NONE -> who = 1
        fi;
        if
        :: AT_END(lateAt[who]) -> logHolder[logLength] = who; logLength++
        :: else -> skip
        fi;
        lateAt[who] = NONE;
        who = 0
    }
    od
}

active proctype World() {
    do
    :: atomic { now < MAX_TIME -> now++ }
    :: atomic { now + MAX_LOST <= MAX_TIME && lost[0] == 0 -> now = now + MAX_LOST; lost[0] = MAX_LOST; unnoticed[0] = true }
    :: now >= MAX_TIME -> break
    od
}

init {
    atomic {
        run Vm(0);
        run Vm(1)
    }
}
