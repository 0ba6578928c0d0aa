/*
 * A VM asks a relay of its failure domain for the declarations, in place of the store, and serves a key on the answer.
 *
 * Models `followTopic` (what a relay gives is as old as it says, reckoned from when it was asked) and `answer` of
 * `startDeclarations` (a relay looks for a suspension before it answers, and answers nothing then) of packages/router. Revision
 * 2 withdraws the key. Discrete time; questions and answers that lie on the way; a relay that is suspended, whose clock
 * stands still meanwhile.
 *
 * Holds: the withdrawn key is not served later than KEYS after the withdrawal.
 * -DNO_ASKED reckons the age from when the answer came: what lay on the way counts as fresh.
 * -DNO_AGE leaves out the age that the relay gave: its own knowledge may be as old.
 * -DNO_PAUSE answers without a look for a suspension: the relay's age leaves out its time.
 */
#define KEYS 2
#define MAX_TIME 8
#define LOST 4
#define NEVER 255

byte now = 1;
byte newest = 1;
byte withdrawnAt = 0;

/* The relay: how much time its clock has lost, and what it knows as of which moment on that clock. */
byte lost = 0;
bool isUnnoticed = false;
byte known = 0;
byte knownAt = NEVER;

/* The VM: when it asked, what came back, and what it knows as of when. */
bool isAsking = false;
bool isAnswered = false;
byte askedAt;
byte saidRevision;
byte saidAge;
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
            saidRevision = known;
            saidAge = CLOCK - knownAt;
            isAnswered = true
        fi
    }
    od
}

active proctype Vm() {
    do
    :: now >= MAX_TIME -> break
    :: atomic { !isAsking -> isAsking = true; isAnswered = false; askedAt = now }
    :: atomic { isAsking && isAnswered ->
#ifdef NO_AGE
        saidAge = 0;
#endif
#ifdef NO_ASKED
        askedAt = now;
#endif
        if
        :: saidRevision >= revision && askedAt >= saidAge -> revision = saidRevision; asOf = askedAt - saidAge
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
