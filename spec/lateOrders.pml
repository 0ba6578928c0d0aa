/*
 * Weights orders to one engine that remain unanswered and are executed long after they were sent.
 *
 * Models `startOrders` of packages/router: each order carries the number of accepted orders in the engine's last
 * report, and is sent only for a version above the version in that report. Target versions are set in ascending order.
 * An order is answered, or executed later, possibly after newer ones. A restarted engine has another incarnation,
 * which orders carry too.
 *
 * Property: the version of the engine never goes back.
 * -DNO_EXPECT removes the engine's check of that number: a late order brings old weights back.
 */
#define VERSIONS 3
#define LATE 2
#define MAX_ORDERS 8            /* upper bound on the orders accepted in any run */

byte target = 1;
byte version = 0;
byte count = 0;              /* orders that the engine has accepted */
byte loading = 0;            /* version that it is loading; 0: none */

byte lateVersion[LATE];
byte lateExpect[LATE];

#ifdef NO_EXPECT
#define EXPECTED(expect) true
#else
#define EXPECTED(expect) (expect == count)
#endif

inline accept(wanted, expect) {
    if
    :: loading == 0 && EXPECTED(expect) -> loading = wanted; count = (count + 1) % MAX_ORDERS
    :: else -> skip
    fi
}

active proctype Holder() {
    byte seenVersion = 0;
    byte seenCount = 0;
    do
    :: atomic { seenVersion = version; seenCount = count }
    :: atomic {
        target > seenVersion ->
        if
        :: accept(target, seenCount)
        :: lateVersion[0] == 0 -> lateVersion[0] = target; lateExpect[0] = seenCount
        :: lateVersion[1] == 0 -> lateVersion[1] = target; lateExpect[1] = seenCount
        fi
    }
    :: version == VERSIONS -> break
    od
}

active proctype Engine() {
    do
    :: atomic { loading > 0 -> assert(loading >= version); version = loading; loading = 0 }
    :: atomic { lateVersion[0] > 0 -> accept(lateVersion[0], lateExpect[0]); lateVersion[0] = 0; lateExpect[0] = 0 }
    :: atomic { lateVersion[1] > 0 -> accept(lateVersion[1], lateExpect[1]); lateVersion[1] = 0; lateExpect[1] = 0 }
    :: version == VERSIONS && loading == 0 && lateVersion[0] == 0 && lateVersion[1] == 0 -> break
    od
}

active proctype Operators() {
    do
    :: target < VERSIONS -> target++
    :: else -> break
    od
}
