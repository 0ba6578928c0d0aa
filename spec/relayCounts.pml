/*
 * A VM learns what others spend from two relays, each of which adds up what it hears from its own start on.
 *
 * Models `createRelayCounters` of packages/router: one relay is followed; when it falls silent, the other one goes on from
 * what it had told when the first spoke last but one. Spending, hearing and telling come in any order, but that a relay
 * hears within a round of its own what the other one told before that round. The first relay may end.
 *
 * Holds: once all has been heard and told, no token that was spent is missing, and none counts twice but those that the
 * first relay had told beyond that word of the other one.
 * -DNO_FOLLOW adds up what both relays tell: all counts twice.
 * -DNO_MARK goes on from the other relay's last word: what it told while the first one was silent is missing.
 * -DNO_BEFORE goes on from its word when the first last spoke: what the first had not heard yet is missing.
 */
#define SPENT 3

byte spent = 0;
byte heard[2];               /* by relay */
byte told[2];                /* the last word of each relay to the VM */
byte mark = 0;               /* the second relay's word when the first last spoke, */
byte before = 0;             /* and the time before that */
byte followed = 0;
bool hasEnded = false;
byte reckoned = 0;
byte untold = 0;             /* what the first relay had told beyond that */

active proctype Callers() {
    do
    :: spent < SPENT -> spent++
    :: else -> break
    od
}

active [2] proctype Hear() {
    do
    :: atomic { !(hasEnded && _pid == 1) && heard[_pid - 1] < spent -> heard[_pid - 1] = spent }
    :: spent == SPENT && (heard[_pid - 1] == SPENT || (hasEnded && _pid == 1)) -> break
    od
}

inline tell(relay) {
#ifdef NO_FOLLOW
    reckoned = reckoned + heard[relay] - told[relay];
    told[relay] = heard[relay]
#else
    if
    :: followed == relay ->
        reckoned = reckoned + heard[relay] - told[relay];
        told[relay] = heard[relay];
        if
        :: relay == 0 -> before = mark; mark = told[1]; untold = told[0] - before
        :: else -> skip
        fi
    :: followed != relay && hasEnded ->
#ifdef NO_MARK
        reckoned = reckoned + heard[relay] - told[relay];
#else
#ifdef NO_BEFORE
        before = mark;
#endif
        reckoned = reckoned + heard[relay] - before;
#endif
        told[relay] = heard[relay];
        followed = relay
    :: else -> told[relay] = heard[relay]
    fi
#endif
}

active proctype Tell() {
    do
    :: atomic { !hasEnded && told[0] != heard[0] && heard[0] >= mark -> tell(0) }
    :: atomic { told[1] != heard[1] -> tell(1) }
    :: atomic { hasEnded && followed == 0 -> tell(1) }
    :: atomic { !hasEnded -> hasEnded = true }
    :: atomic { spent == SPENT && heard[1] == SPENT && told[1] == SPENT && (followed == 1 || (!hasEnded && told[0] == SPENT)) ->
        assert(reckoned >= SPENT);
        assert(reckoned <= SPENT + untold);
        break
    }
    od
}
