/*
 * The allowance of one organisation in one failure domain: two VMs that are its home in succession, and one taker, a
 * VM that asks the home for grants.
 *
 * Models `advanceBucket`, `answerAsk`, `askHome`, `applyAnswer`, `handOverBucket` and `receiveBucket` of
 * packages/allowance, and the waiting time of `servesFrom` of packages/membership. Asks and answers may be lost,
 * delayed or repeated; the first home may be restarted, die and be dropped, or hand over. Time is discrete; one token
 * accrues per tick.
 *
 * Property: a token bucket of the whole domain that starts full never goes below zero. This is equivalent to spending
 * at most burst + rate * t over any interval.
 *
 * Each of these removes one guard:
 * -DNO_SEQ            the home accepts a repeated ask.
 * -DNO_PENDING        the taker accepts an answer to an ask that it has given up.
 * -DNO_ASKED          the lifetime of a grant is measured from its answer instead of from its ask.
 * -DNO_OUTSTANDING    the home accrues without counting the outstanding tokens.
 * -DNO_DEBIT          the taker keeps the tokens that it hands back.
 * -DNO_BOUND          the home credits more than the outstanding tokens.
 * -DNO_WAIT           a new home serves before the grants of the former home have expired.
 * -DNO_EMPTY          a new home starts full.
 * -DNO_LAPSING        a hand-over omits the outstanding tokens.
 */
#define BURST 2
#define GRANT 2
#define KEEP 2
#ifndef MAX_TIME
#define MAX_TIME 3
#endif
#define MAX_SEQ 2
#define NONE 255
#define HOMES 2
#define SLOTS 1

byte now = 0;
byte reference = BURST;

/* The buckets of the homes. */
bool serving[HOMES];
byte servesAt[HOMES] = NONE;
byte process[HOMES];
byte balance[HOMES];
byte outstanding[HOMES];
byte keptUntil[HOMES];
byte lastSeq[HOMES];
byte lastGrant[HOMES];
byte lapsing[HOMES];
byte lapsesAt[HOMES];
bool hadFault = false;

/* The taker's state for each home. */
byte left[HOMES];
byte expires[HOMES];
byte seq[HOMES];
byte applied[HOMES];
byte pendingSince[HOMES] = NONE;
byte knownRun[HOMES];

/* Messages in transit. */
bool asking[SLOTS];
byte askTo[SLOTS];
byte askRun[SLOTS];
byte askSeq[SLOTS];
byte askApplied[SLOTS];
byte askHeld[SLOTS];
byte askBack[SLOTS];
bool answering[SLOTS];
byte answerFrom[SLOTS];
byte answerRun[SLOTS];
byte answerSeq[SLOTS];
byte answerGrant[SLOTS];
bool answerExtended[SLOTS];
bool handing = false;
byte handedBalance;
byte handedOutstanding;

inline spend() {
    assert(reference > 0);
    reference--
}

#ifdef NO_OUTSTANDING
#define LEVEL(h) (balance[h])
#else
#define LEVEL(h) (balance[h] + outstanding[h] + lapsing[h])
#endif

#ifdef NO_EMPTY
#define FIRST_BALANCE BURST
#else
#define FIRST_BALANCE 0
#endif

#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT KEEP
#endif

inline tick() {
    now++;
    if
    :: reference < BURST -> reference++
    :: else
    fi;
    for (h : 0 .. HOMES - 1) {
        if
        :: serving[h] && LEVEL(h) < BURST -> balance[h]++
        :: else
        fi;
        if
        :: keptUntil[h] <= now -> outstanding[h] = 0; lastGrant[h] = 0
        :: else
        fi;
        if
        :: lapsesAt[h] <= now -> lapsing[h] = 0
        :: else
        fi;
        if
        :: servesAt[h] <= now && !serving[h] ->
            serving[h] = true;
            servesAt[h] = NONE;
            balance[h] = FIRST_BALANCE
        :: else
        fi
    }
}

/* The taker asks home h for a grant and hands back either nothing or all tokens that it holds. */
inline ask() {
    if
    :: expires[h] <= now -> left[h] = 0
    :: else
    fi;
    if
    :: back = 0
    :: back = left[h]
    fi;
#ifndef NO_DEBIT
    left[h] = left[h] - back;
#endif
    seq[h]++;
    pendingSince[h] = now;
    asking[i] = true;
    askTo[i] = h;
    askRun[i] = knownRun[h];
    askSeq[i] = seq[h];
    askApplied[i] = applied[h];
    askHeld[i] = left[h];
    askBack[i] = back
}

#ifdef NO_SEQ
#define IS_NEW true
#else
#define IS_NEW (askSeq[i] > lastSeq[h])
#endif

/* Home h processes ask i and answers in slot j. */
inline takeAsk() {
    mine = (askRun[i] == process[h]);
    extended = (askHeld[i] == 0) || (mine && askHeld[i] <= outstanding[h]);
    if
    :: mine && extended ->
        back = askBack[i];
        if
        :: askApplied[i] < lastSeq[h] -> back = back + lastGrant[h]
        :: else
        fi;
#ifndef NO_BOUND
        if
        :: back > outstanding[h] - askHeld[i] -> back = outstanding[h] - askHeld[i]
        :: else
        fi;
#endif
        balance[h] = balance[h] + back
    :: !extended -> lapsing[h] = lapsing[h] + outstanding[h]; lapsesAt[h] = keptUntil[h]
    :: else
    fi;
    if
    :: granted = 0
    :: granted = balance[h]
    fi;
    balance[h] = balance[h] - granted;
    outstanding[h] = granted + (extended -> askHeld[i] : 0);
    keptUntil[h] = now + KEEP;
    lastSeq[h] = askSeq[i];
    lastGrant[h] = granted;
    answering[j] = true;
    answerFrom[j] = h;
    answerRun[j] = process[h];
    answerSeq[j] = askSeq[i];
    answerGrant[j] = granted;
    answerExtended[j] = extended;
    granted = 0;
    back = 0;
    mine = false;
    extended = false
}

#ifdef NO_PENDING
#define IS_AWAITED true
#else
#define IS_AWAITED (pendingSince[h] != NONE && answerSeq[j] == seq[h])
#endif

#ifdef NO_ASKED
#define COUNTED_FROM now
#else
#define COUNTED_FROM (pendingSince[h] == NONE -> now : pendingSince[h])
#endif

/* The taker applies answer j of home h. */
inline takeAnswer() {
    left[h] = answerGrant[j] + (answerExtended[j] -> left[h] : 0);
    expires[h] = COUNTED_FROM + GRANT;
    applied[h] = answerSeq[j];
    knownRun[h] = answerRun[j];
    pendingSince[h] = NONE
}

/* Starts a home empty, after a wait: a new process on the first VM, or the second VM after the first was dropped. */
inline startHome(vm) {
    process[vm]++;
    serving[vm] = false;
    balance[vm] = 0;
    outstanding[vm] = 0;
    keptUntil[vm] = 0;
    lastSeq[vm] = 0;
    lastGrant[vm] = 0;
    lapsing[vm] = 0;
    servesAt[vm] = now + WAIT;
    if
    :: WAIT == 0 -> serving[vm] = true; servesAt[vm] = NONE; balance[vm] = FIRST_BALANCE
    :: else
    fi
}

active proctype Fleet() {
    byte h;
    byte i;
    byte j;
    byte back;
    byte granted;
    bool mine;
    bool extended;
    serving[0] = true;
    balance[0] = BURST;
    do
    :: atomic { now < MAX_TIME -> tick(); h = 0 }
    :: atomic {
        select(h : 0 .. 1);
        if
        :: serving[h] && balance[h] > 0 -> balance[h]--; spend()
        :: left[h] > 0 && now < expires[h] -> left[h]--; spend()
        :: pendingSince[h] == NONE && seq[h] < MAX_SEQ && !asking[0] ->
            i = 0;
            ask()
        :: pendingSince[h] != NONE -> pendingSince[h] = NONE
        :: else
        fi;
        h = 0; i = 0; back = 0
    }
    :: atomic {
        i = 0;
        if
        :: asking[i] ->
            h = askTo[i];
            if
            :: serving[h] && IS_NEW && !answering[0] ->
                j = 0;
                takeAsk()
            :: true
            fi;
            if
            :: asking[i] = false; askTo[i] = 0; askRun[i] = 0; askSeq[i] = 0; askApplied[i] = 0;
                askHeld[i] = 0; askBack[i] = 0
            :: true     /* the ask arrives again later */
            fi
        :: else
        fi;
        h = 0; i = 0; j = 0
    }
    :: atomic {
        j = 0;
        if
        :: answering[j] ->
            h = answerFrom[j];
            if
            :: IS_AWAITED -> takeAnswer()
            :: true
            fi;
            if
            :: answering[j] = false; answerFrom[j] = 0; answerRun[j] = 0; answerSeq[j] = 0;
                answerGrant[j] = 0; answerExtended[j] = false
            :: true
            fi
        :: else
        fi;
        h = 0; j = 0
    }
    :: atomic { !hadFault -> hadFault = true; startHome(0) }
    :: atomic { !hadFault -> hadFault = true; serving[0] = false; balance[0] = 0; startHome(1) }
    :: atomic {
        !hadFault && serving[0] ->
        hadFault = true;
        handing = true;
        handedBalance = balance[0];
#ifndef NO_LAPSING
        handedOutstanding = outstanding[0] + lapsing[0];
#endif
        serving[0] = false;
        balance[0] = 0
    }
    :: atomic {
        handing ->
        handing = false;
        if
        :: serving[1] = true;
            balance[1] = handedBalance;
            lapsing[1] = handedOutstanding;
            lapsesAt[1] = now + KEEP
        :: startHome(1)     /* the hand-over is lost; asked again, the former home confirms nothing */
        fi;
        handedBalance = 0;
        handedOutstanding = 0
    }
    :: now == MAX_TIME -> break
    od
}
