/*
 * A VM queries a relay of its failure domain for the declarations, instead of the store, and serves a key by the
 * answer.
 *
 * Models `followTopic` (the age of an answer is the age that the relay states, measured from when the query was sent)
 * and `answer` of `startDeclarations` (a relay checks for a suspension before it answers, and after one gives no answer)
 * of packages/router. Revision 2 withdraws the key. Time is discrete; queries and answers may be delayed; the relay
 * may be suspended, and its clock stands still meanwhile.
 *
 * Property: the withdrawn key is not served later than KEYS after the withdrawal.
 *
 * Each of these removes one guard:
 * -DNO_ASKED measures the age from the arrival of the answer, so a delayed answer counts as fresh.
 * -DNO_AGE ignores the age that the relay states, though the relay's own state may be that old.
 * -DNO_PAUSE answers without checking for a suspension, so the relay's age omits the time of the suspension.
 */
#define KEYS 2
#define MAX_TIME 8
#define LOST 4
#define NEVER 255

byte now = 1;
byte newest = 1;
byte withdrawnAt = 0;

/* The relay: the time that its clock has lost, the revision that it knows, and when by that clock it was current. */
byte lost = 0;
bool isUnnoticed = false;
byte known = 0;
byte knownAt = NEVER;

/* The VM: when it sent the query, the answer, and the revision that it knows with the time when it was current. */
bool isAsking = false;
bool isAnswered = false;
byte requestedAt;
byte answerRevision;
byte answerAge;
byte revision = 0;
byte asOf = NEVER;

#define CLOCK (now - lost)

active proctype Relay() {
    do
    :: now >= MAX_TIME -> break
    :: atomic { known != newest || knownAt != CLOCK -> known = newest; knownAt = CLOCK }
    :: atomic { isAsking && !isAnswered ->
#ifndef NO_PAUSE
        if
        :: isUnnoticed -> knownAt = NEVER
        :: else -> skip
        fi;
#endif
        isUnnoticed = false;
        if
        :: knownAt == NEVER -> isAsking = false
        :: else ->
            answerRevision = known;
            answerAge = CLOCK - knownAt;
            isAnswered = true
        fi
    }
    od
}

active proctype Vm() {
    do
    :: now >= MAX_TIME -> break
    :: atomic { !isAsking -> isAsking = true; isAnswered = false; requestedAt = now }
    :: atomic { isAsking && isAnswered ->
#ifdef NO_AGE
        answerAge = 0;
#endif
#ifdef NO_ASKED
        requestedAt = now;
#endif
        if
        :: answerRevision >= revision && requestedAt >= answerAge -> revision = answerRevision; asOf = requestedAt - answerAge
        :: else -> skip
        fi;
        isAsking = false;
        isAnswered = false
    }
    :: atomic { revision == 1 && asOf != NEVER && now - asOf <= KEYS ->
        assert(withdrawnAt == 0 || now <= withdrawnAt + KEYS)
    }
    od
}

active proctype World() {
    do
    :: now >= MAX_TIME -> break
    :: atomic { now < MAX_TIME -> now++ }
    :: atomic { lost == 0 && now + LOST <= MAX_TIME -> now = now + LOST; lost = LOST; isUnnoticed = true }
    :: atomic { newest == 1 -> newest = 2; withdrawnAt = now }
    od
}
