/*
 * The freshness of keys: a VM serves a key only while it knows that its configuration was the newest a short time ago.
 *
 * Models `stepDeclaredState` (a process takes only later revisions; evidence is as of the sending of a read, or of the beacon
 * that vouches for it, which is told by the receiver's own stamp that came back in it; a pause voids it, and all that was
 * sent before) and the check of `admitRequest` of packages/router. Revision 2 withdraws the key.
 * Two VMs, discrete time, reads that answer late, beacons that lie in a buffer, VMs that are suspended and whose clocks stand
 * still meanwhile.
 *
 * Holds: the withdrawn key is not served later than KEYS after the withdrawal; a VM never goes back a revision.
 * -DNO_ASKED counts evidence from a read's answer: what lay on the way counts as fresh.
 * -DNO_ECHO counts a beacon from its reading: what lay in a suspended VM's buffer counts as fresh.
 * -DNO_AGE leaves out the age that the teller gave: two VMs confirm each other for ever.
 * -DNO_PAUSE leaves a suspension unnoticed: its time does not count.
 * -DNO_VOID takes answers to what was sent before a suspension: its time does not count either.
 * -DNO_LATER takes any revision: a late answer brings the key back.
 */
#define KEYS 1
#define MAX_TIME 5
#define MAX_LOST 2
#define NEVER 0

byte now = 1;
byte newest = 1;
byte withdrawnAt = 0;

byte lost[2];
bool unnoticed[2];
byte revision[2];
byte pausedAt[2];            /* own clock of the last suspension noticed; 0: none */
byte confirmed[2];           /* on the VM's own clock; NEVER: nothing is confirmed */

#define CLOCK(vm) (now - lost[vm])

/* One read of each VM: when it was sent on the VM's own clock, and what the store said (0: not yet). */
bool reading[2];
byte readSent[2];
byte readSaid[2];

/* The newest stamp of each VM that the other has got: its own clock, and when that was. */
byte stamp[2];
byte stampAt[2];

/* One beacon to each VM, in its buffer: revision and age of its evidence, the receiver's stamp, and how long that was held. */
byte told[2];
byte toldAge[2];
byte toldStamp[2];
byte toldHeld[2];

#ifdef NO_VOID
#define IS_VOID(vm, sent) false
#else
#define IS_VOID(vm, sent) (sent <= pausedAt[vm])
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
        pausedAt[self] = CLOCK(self)
#endif
    }
    :: atomic { self == 0 && !unnoticed[self] && !reading[self] -> reading[self] = true; readSent[self] = CLOCK(self); readSaid[self] = 0 }
    /* The second VM's reads are answered at once, which leaves the search small; what is late is the first one's. */
    :: atomic { self == 1 && (revision[self] != newest || confirmed[self] != CLOCK(self)) ->
        revision[self] = newest;
        confirmed[self] = CLOCK(self)
    }
    :: atomic { reading[self] && readSaid[self] == 0 -> readSaid[self] = newest }
    :: atomic { !unnoticed[self] && reading[self] && readSaid[self] != 0 ->
        adopt(self, readSaid[self]);
        if
        :: IS_VOID(self, readSent[self]) -> skip
#ifdef NO_ASKED
        :: else -> confirm(self, readSaid[self], CLOCK(self))
#else
        :: else -> confirm(self, readSaid[self], readSent[self])
#endif
        fi;
        reading[self] = false;
        readSent[self] = 0;
        readSaid[self] = 0
    }
    :: atomic { self == 0 && !unnoticed[self] && stamp[self] != CLOCK(self) -> stamp[self] = CLOCK(self); stampAt[self] = now }
    /* The other VM tells what it knows. */
    :: atomic { self == 0 && !unnoticed[other] && told[self] == 0 && stamp[self] != 0 && confirmed[other] != NEVER ->
        told[self] = revision[other];
        toldAge[self] = CLOCK(other) - confirmed[other];
        toldStamp[self] = stamp[self];
        toldHeld[self] = now - stampAt[self]
    }
    :: atomic { !unnoticed[self] && told[self] != 0 ->
        adopt(self, told[self]);
#ifdef NO_AGE
        toldAge[self] = 0;
#endif
#ifdef NO_ECHO
        toldStamp[self] = CLOCK(self);
        toldHeld[self] = 0;
#endif
        if
        :: IS_VOID(self, toldStamp[self]) -> skip
        :: else ->
            if
            :: toldStamp[self] + toldHeld[self] > toldAge[self] ->
                confirm(self, told[self], toldStamp[self] + toldHeld[self] - toldAge[self])
            :: else -> skip
            fi
        fi;
        told[self] = 0;
        toldAge[self] = 0;
        toldStamp[self] = 0;
        toldHeld[self] = 0
    }
    /* A request with the key: it is served only on fresh evidence. */
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
