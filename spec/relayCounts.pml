/*
 * A VM learns the spending of others from two relays. Each relay sums the spending that it has received since its
 * start.
 *
 * Models `createRelayCounters` of packages/router: the VM counts the sums of one relay. When that relay falls silent,
 * the VM continues with the other one, from the sum that the other had sent by the last but one message of the first.
 * Spending, receiving and sending happen in any order, except that within one of its own rounds a relay receives what
 * the other had sent before that round. The first relay may end.
 *
 * Property: once everything has been received and sent, no spent token is missing, and the only tokens counted twice
 * are those that the first relay had sent in excess of that sum of the other one.
 *
 * Each of these removes one guard:
 * -DNO_FOLLOW counts the sums of both relays, so all tokens count twice.
 * -DNO_MARK continues from the last sum of the other relay: what it sent while the first one was silent is missing.
 * -DNO_BEFORE continues from its sum at the last message of the first: what the first had not received yet is missing.
 */
#define SPENT 3

byte spent = 0;
byte received[2];            /* spending received by each relay */
byte sent[2];                /* last sum sent by each relay to the VM */
byte mark = 0;               /* sum sent by the second relay at the last message of the first, */
byte before = 0;             /* and at the message before that */
byte followed = 0;
bool hasEnded = false;
byte counted = 0;            /* spending counted by the VM */
byte excess = 0;             /* what the first relay had sent in excess of `before` */

active proctype Callers() {
    do
    :: spent < SPENT -> spent++
    :: else -> break
    od
}

active [2] proctype Receive() {
    do
    :: atomic { !(hasEnded && _pid == 1) && received[_pid - 1] < spent -> received[_pid - 1] = spent }
    :: spent == SPENT && (received[_pid - 1] == SPENT || (hasEnded && _pid == 1)) -> break
    od
}

inline sendSum(relay) {
#ifdef NO_FOLLOW
    counted = counted + received[relay] - sent[relay];
    sent[relay] = received[relay]
#else
    if
    :: followed == relay ->
        counted = counted + received[relay] - sent[relay];
        sent[relay] = received[relay];
        if
        :: relay == 0 -> before = mark; mark = sent[1]; excess = sent[0] - before
        :: else -> skip
        fi
    :: followed != relay && hasEnded ->
#ifdef NO_MARK
        counted = counted + received[relay] - sent[relay];
#else
#ifdef NO_BEFORE
        before = mark;
#endif
        counted = counted + received[relay] - before;
#endif
        sent[relay] = received[relay];
        followed = relay
    :: else -> sent[relay] = received[relay]
    fi
#endif
}

active proctype Send() {
    do
    :: atomic { !hasEnded && sent[0] != received[0] && received[0] >= mark -> sendSum(0) }
    :: atomic { sent[1] != received[1] -> sendSum(1) }
    :: atomic { hasEnded && followed == 0 -> sendSum(1) }
    :: atomic { !hasEnded -> hasEnded = true }
    :: atomic { spent == SPENT && received[1] == SPENT && sent[1] == SPENT && (followed == 1 || (!hasEnded && sent[0] == SPENT)) ->
        assert(counted >= SPENT);
        assert(counted <= SPENT + excess);
        break
    }
    od
}
