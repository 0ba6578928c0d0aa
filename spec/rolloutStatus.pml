/*
 * The status of one rollout in the store, written by its leaders.
 *
 * Models `createStatusKeeper` and `lead` in `createRollouts` of packages/router: two leaders, of which one may not know
 * yet that the other one took over, read the newest status and the end of its topic, and write the status of their
 * phase where it differs. A write without an answer is given up; it was carried out, or is carried out at any time
 * later, if the topic still ends where its writer expected. Both leaders may find the version bad; only the first one
 * may complete the rollout, as a leader that has learned a final phase keeps it.
 *
 * Property: once the store has a final status, no status that comes before it in the order of the phases follows.
 *
 * -DNO_CONDITION writes whatever the topic's end is: a late write replaces the final status.
 */
#define NONE 0
#define RUNNING 1
#define COMPLETED 2
#define ROLLED_BACK 3
#define MAX_END 5
#define LATE 2

byte stored = NONE;
byte end = 0;
byte lateStatus[LATE];
byte lateAt[LATE];

#ifdef NO_CONDITION
#define HOLDS(at) true
#else
#define HOLDS(at) (at == end)
#endif

inline carryOut(wanted, at) {
    assert(stored < COMPLETED || wanted >= stored);
    stored = wanted;
    end++
}

proctype Leader(byte mayComplete) {
    byte phase = RUNNING;
    byte known = NONE;
    byte at = 0;
    bool isRead = false;
    do
    /* Reads the status; a final one is learned, and phases only advance. */
    :: atomic {
        !isRead ->
        known = stored;
        at = end;
        isRead = true;
        if
        :: known > phase -> phase = known
        :: else -> skip
        fi
    }
    :: atomic { isRead && mayComplete && phase == RUNNING -> phase = COMPLETED }
    :: atomic { isRead && phase == RUNNING -> phase = ROLLED_BACK }
    :: atomic {
        isRead && known != phase && end < MAX_END ->
        if
        :: HOLDS(at) -> carryOut(phase, at); known = phase; at = end
        /* It is carried out, and its answer is lost. */
        :: HOLDS(at) -> carryOut(phase, at)
        :: !(HOLDS(at)) -> isRead = false
        :: lateStatus[0] == NONE -> lateStatus[0] = phase; lateAt[0] = at
        :: lateStatus[1] == NONE -> lateStatus[1] = phase; lateAt[1] = at
        fi
    }
    :: break
    od
}

active proctype Store() {
    byte i;
    do
    :: atomic {
        if
        :: lateStatus[0] != NONE -> i = 0
        :: lateStatus[1] != NONE -> i = 1
        fi;
        if
        :: HOLDS(lateAt[i]) && end < MAX_END -> carryOut(lateStatus[i], lateAt[i])
        :: else -> skip
        fi;
        lateStatus[i] = NONE;
        lateAt[i] = 0
    }
    :: break
    od
}

init {
    atomic {
        run Leader(true);
        run Leader(false)
    }
}
