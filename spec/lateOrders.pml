/*
 * Weights orders to one engine that remain unanswered and are executed long after they were sent, possibly by a later
 * process of the engine under the same name.
 *
 * Models `startOrders`, `orderAllowedAt` and `createLeaseKeeper` of packages/router: each order carries the number of
 * accepted orders in a report of the engine, is sent only for a version above the version in that report, and is held
 * back while it would bring the engine to a number that an unanswered order expects. Target versions are set in ascending
 * order. An order is answered, or executed later, possibly after newer ones. A restarted engine keeps its version and its
 * name, and counts from 0; the issuer may still have a report of before the restart.
 *
 * An issuer may end at any time, and another one takes over, which knows only what the last record of the lease states:
 * the start of the engine that the issuer might order until its next record, and the orders that were unanswered when it
 * was written. Orders since then are on an unknown number: none is sent to another start until they are over.
 *
 * Properties, within one start of the engine: no order is accepted after one that was sent later; the version never goes
 * back, except by the first order accepted, which may have been sent before the start.
 * -DNO_EXPECT removes the engine's check of the number: a late order brings old weights back.
 * -DNO_HOLD removes the holding back: a late order of an earlier start is accepted after a newer one.
 * -DNO_STATED lets records state nothing, -DNO_PERMIT sends orders to starts that the record does not state, and
 * -DNO_INHERIT leaves the orders of earlier issuers out of a record: the next issuer does not know of a late order.
 */
#define VERSIONS 3
#define RESTARTS 2
#define TAKEOVERS 2
#define NONE 255

byte target = 1;
byte version = 0;
byte count = 0;              /* orders that the engine has accepted since its start */
byte loading = 0;            /* version that it is loading; 0: none */
byte restarts = 0;

/* Unanswered orders; a version of 0 is a free place. */
byte lateVersion[2];
byte lateExpect[2] = NONE;
bool isOvertaken[2];         /* whether this start has accepted an order that was sent later */
bool isSecondOlder;          /* whether the order in the second place was sent first */

/* What the issuer knows: which of these orders, and starts to which there may be others, a bit each. */
bool isKnown[2];
byte unknownStarts = 0;

/* The newest record of the lease. */
byte statedStart = NONE;
bool isStated[2];
byte statedUnknownStarts = 0;
byte takeovers = 0;

#ifdef NO_EXPECT
#define EXPECTED(expect) true
#else
#define EXPECTED(expect) (expect == count)
#endif

#ifdef NO_HOLD
#define HELD_BACK(seen) false
#else
#define EXPECTED_NEXT(i, seen) (isKnown[i] && lateExpect[i] == seen + 1)
#define HELD_BACK(seen) (EXPECTED_NEXT(0, seen) || EXPECTED_NEXT(1, seen) || (unknownStarts & ~(1 << seenStart)) != 0)
#endif

#ifdef NO_PERMIT
#define PERMITTED true
#else
#define PERMITTED (statedStart == seenStart)
#endif

#define IS_UNKNOWN(i) (lateVersion[i] > 0 && !isKnown[i])

inline free(i) {
    lateVersion[i] = 0;
    lateExpect[i] = NONE;
    isOvertaken[i] = false;
    isKnown[i] = false;
    isStated[i] = false
}

inline send(i) {
    lateVersion[i] = target;
    lateExpect[i] = seenCount;
    isKnown[i] = true;
    isStated[i] = false
}

inline appendRecord() {
    statedStart = seenStart;
#ifndef NO_INHERIT
    statedUnknownStarts = unknownStarts;
#endif
    isStated[0] = isKnown[0];
    isStated[1] = isKnown[1]
}

inline takeOver() {
#ifdef NO_STATED
    unknownStarts = 0;
    isKnown[0] = false;
    isKnown[1] = false;
#else
    unknownStarts = statedUnknownStarts;
    if
    :: statedStart != NONE -> unknownStarts = unknownStarts | (1 << statedStart)
    :: else -> skip
    fi;
    isKnown[0] = isStated[0];
    isKnown[1] = isStated[1];
#endif
    seenVersion = NONE;
    seenCount = 0;
    seenStart = NONE
}

inline executeLate(i, isOlderOther) {
    if
    :: loading == 0 && EXPECTED(lateExpect[i]) ->
        assert(!isOvertaken[i]);
        loading = lateVersion[i];
        count++;
        if
        :: isOlderOther && lateVersion[1 - i] > 0 -> isOvertaken[1 - i] = true
        :: else -> skip
        fi
    :: else -> skip
    fi;
    free(i)
}

active proctype Issuer() {
    byte seenVersion = NONE;
    byte seenCount = 0;
    byte seenStart = NONE;
end:
    do
    :: atomic { seenVersion = version; seenCount = count; seenStart = restarts }
    :: atomic { seenStart != NONE -> appendRecord() }
    :: atomic { takeovers < TAKEOVERS -> takeovers++; takeOver() }
    :: atomic { unknownStarts != 0 && !IS_UNKNOWN(0) && !IS_UNKNOWN(1) -> unknownStarts = 0 }
    :: atomic {
        target > seenVersion && PERMITTED && !HELD_BACK(seenCount) ->
        if
        :: loading == 0 && EXPECTED(seenCount) ->
            loading = target;
            count++;
            isOvertaken[0] = lateVersion[0] > 0;
            isOvertaken[1] = lateVersion[1] > 0
        :: lateVersion[0] == 0 ->
            send(0);
            isSecondOlder = true
        :: lateVersion[1] == 0 ->
            send(1);
            isSecondOlder = false
        :: else -> skip
        fi
    }
    od
}

active proctype Engine() {
end:
    do
    :: atomic { loading > 0 -> assert(count == 1 || loading >= version); version = loading; loading = 0 }
    :: atomic { lateVersion[0] > 0 -> executeLate(0, isSecondOlder) }
    :: atomic { lateVersion[1] > 0 -> executeLate(1, !isSecondOlder) }
    :: atomic {
        restarts < RESTARTS ->
        restarts++;
        count = 0;
        loading = 0;
        isOvertaken[0] = false;
        isOvertaken[1] = false
    }
    od
}

active proctype Operators() {
    do
    :: target < VERSIONS -> target++
    :: else -> break
    od
}
