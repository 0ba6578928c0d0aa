/*
 * The freshness of keys: a VM serves a key only while its configuration is confirmed as the newest of a short time
 * ago.
 *
 * Models `stepDeclaredState` (a process adopts only later revisions; a revision is confirmed as of the sending of a read,
 * or of the end of its wait in the store if that brought nothing, or of the beacon that confirms it, whose sending time
 * follows from the receiver's own timestamp echoed in it; a suspension voids the confirmation and everything sent before it) and the check of `admitRequest` of packages/router.
 * Revision 2 withdraws the key. Two VMs, discrete time, reads that are answered late, beacons that wait in a buffer,
 * and VMs that are suspended while their clocks stand still.
 *
 * Properties: the withdrawn key is not served later than KEYS after the withdrawal; the revision of a VM never goes
 * back.
 *
 * Each of these removes one guard:
 * -DNO_HELD counts the wait of a read that the store answered at once.
 * -DNO_ASKED measures from the answer to a read, so a delayed answer counts as fresh.
 * -DNO_ECHO measures from the reading of a beacon, so a beacon from the buffer of a suspended VM counts as fresh.
 * -DNO_AGE ignores the age that the sender states, so two VMs confirm each other forever.
 * -DNO_PAUSE ignores suspensions, so their time is not counted.
 * -DNO_VOID accepts answers to reads sent before a suspension, so its time is not counted either.
 * -DNO_LATER adopts any revision, so a late answer brings the key back.
 */
#define KEYS 1
#define WAIT 1
#define MAX_TIME 5
#define MAX_LOST 2
#define NEVER 0

byte now = 1;
byte newest = 1;
byte withdrawnAt = 0;

byte lost[2];
bool unnoticed[2];
byte revision[2];
byte suspendedAt[2];         /* own clock at the last detected suspension; 0: none */
byte confirmed[2];           /* own clock as of which the revision was newest; NEVER: unconfirmed */

#define CLOCK(vm) (now - lost[vm])

/*
 * One read of the first VM, which waits in the store: when it was sent by the VM's own clock and by the store's, the
 * revision that the VM had read, and the store's answer (0: not yet). The second VM's reads do not wait.
 */
bool reading[2];
byte readSent[2];
byte readSentAt;
byte readFrom;
byte readAnswer[2];

/* The newest timestamp of each VM that the other has received: the VM's own clock, and when it was received. */
byte stamp[2];
byte stampAt[2];

/* One beacon to each VM, in its buffer: the revision, the age of its confirmation, the receiver's echoed timestamp, and
 * how long the sender had kept that timestamp. */
byte beaconRevision[2];
byte beaconAge[2];
byte beaconStamp[2];
byte beaconStampHeld[2];

#ifdef NO_VOID
#define IS_VOID(vm, sent) false
#else
#define IS_VOID(vm, sent) (sent <= suspendedAt[vm])
#endif

#ifdef NO_LATER
#define LATER(vm, said) true
#else
#define LATER(vm, said) (said > revision[vm])
#endif

inline adopt(vm, said) {
    if
    :: LATER(vm, said) ->
        assert(said >= revision[vm]);
        if
        :: said != revision[vm] -> confirmed[vm] = NEVER
        :: else -> skip
        fi;
        revision[vm] = said
    :: else -> skip
    fi
}

inline confirm(vm, said, asOf) {
    if
    :: said == revision[vm] && asOf > confirmed[vm] -> confirmed[vm] = asOf
    :: else -> skip
    fi
}

proctype Vm(byte self) {
    byte other = 1 - self;
    do
    :: now >= MAX_TIME -> break
    :: atomic {
        unnoticed[self] -> unnoticed[self] = false;
#ifndef NO_PAUSE
        confirmed[self] = NEVER;
        suspendedAt[self] = CLOCK(self)
#endif
    }
    :: atomic { self == 0 && !unnoticed[self] && !reading[self] -> 
        reading[self] = true;
        readSent[self] = CLOCK(self);
        readSentAt = now;
        readFrom = revision[self];
        readAnswer[self] = 0
    }
    /* Reads of the second VM are answered at once, to keep the search small; only reads of the first are late. */
    :: atomic { self == 1 && (revision[self] != newest || confirmed[self] != CLOCK(self)) ->
        revision[self] = newest;
        confirmed[self] = CLOCK(self)
    }
#ifdef NO_HELD
    :: atomic { reading[self] && readAnswer[self] == 0 -> readAnswer[self] = newest }
#else
    :: atomic { reading[self] && readAnswer[self] == 0 && (newest != readFrom || now >= readSentAt + WAIT) ->
        readAnswer[self] = newest
    }
#endif
    :: atomic { !unnoticed[self] && reading[self] && readAnswer[self] != 0 ->
        adopt(self, readAnswer[self]);
        if
        :: IS_VOID(self, readSent[self]) -> skip
#ifdef NO_ASKED
        :: else -> confirm(self, readAnswer[self], CLOCK(self))
#else
#ifdef NO_HELD
        :: else -> confirm(self, readAnswer[self], readSent[self] + WAIT)
#else
        :: else ->
            if
            :: readAnswer[self] == readFrom && CLOCK(self) >= readSent[self] + WAIT ->
                confirm(self, readAnswer[self], readSent[self] + WAIT)
            :: else -> confirm(self, readAnswer[self], readSent[self])
            fi
#endif
#endif
        fi;
        reading[self] = false;
        readSent[self] = 0;
        readSentAt = 0;
        readFrom = 0;
        readAnswer[self] = 0
    }
    :: atomic { self == 0 && !unnoticed[self] && stamp[self] != CLOCK(self) -> stamp[self] = CLOCK(self); stampAt[self] = now }
    /* The other VM sends its revision. */
    :: atomic { self == 0 && !unnoticed[other] && beaconRevision[self] == 0 && stamp[self] != 0 && confirmed[other] != NEVER ->
        beaconRevision[self] = revision[other];
        beaconAge[self] = CLOCK(other) - confirmed[other];
        beaconStamp[self] = stamp[self];
        beaconStampHeld[self] = now - stampAt[self]
    }
    :: atomic { !unnoticed[self] && beaconRevision[self] != 0 ->
        adopt(self, beaconRevision[self]);
#ifdef NO_AGE
        beaconAge[self] = 0;
#endif
#ifdef NO_ECHO
        beaconStamp[self] = CLOCK(self);
        beaconStampHeld[self] = 0;
#endif
        if
        :: IS_VOID(self, beaconStamp[self]) -> skip
        :: else ->
            if
            :: beaconStamp[self] + beaconStampHeld[self] > beaconAge[self] ->
                confirm(self, beaconRevision[self], beaconStamp[self] + beaconStampHeld[self] - beaconAge[self])
            :: else -> skip
            fi
        fi;
        beaconRevision[self] = 0;
        beaconAge[self] = 0;
        beaconStamp[self] = 0;
        beaconStampHeld[self] = 0
    }
    /* A request with the key is served only if the revision was confirmed recently. */
    :: atomic { !unnoticed[self] && revision[self] == 1 && confirmed[self] != NEVER && CLOCK(self) - confirmed[self] <= KEYS ->
        assert(withdrawnAt == 0 || now <= withdrawnAt + KEYS)
    }
    od
}

active proctype World() {
    do
    :: atomic { now < MAX_TIME -> now++ }
    :: atomic { now + MAX_LOST <= MAX_TIME && lost[0] == 0 -> now = now + MAX_LOST; lost[0] = MAX_LOST; unnoticed[0] = true }
    :: atomic { newest == 1 -> newest = 2; withdrawnAt = now }
    :: now >= MAX_TIME -> break
    od
}

init {
    atomic {
        run Vm(0);
        run Vm(1)
    }
}
