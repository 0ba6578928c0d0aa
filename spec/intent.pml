/*
 * Intents of requests that must not be repeated: a key has at most one run.
 *
 * Models packages/intent: foldIntents (the first intent since the key was free owns it), keyStatusOf (only the owner
 * may begin), beginIntent, withdrawIntent, decideTakenKey (no daemon takes over). Daemons may pause between any two
 * steps, or die and restart without state. The log may drop appends, or accept them late and in any order. A daemon
 * ignores the answers to its appends and relies only on what it reads back.
 *
 * Each of these removes one guard, and the violation must be found:
 *   ANY_INTENT          the last intent owns the key instead of the first
 *   TAKE_OVER           a daemon dispatches in place of an owner that does not answer
 *   BEGIN_WITHDRAWN     an intent may begin after its withdrawal was sent
 *   WITHDRAW_BEGUN      an intent may be withdrawn after it has begun
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#define INTENTS 3
#define RECORDS 7

#ifdef TAKE_OVER
#define OWNS true
#else
#define OWNS (ownerAt[seen] == mine)
#endif
#ifdef BEGIN_WITHDRAWN
#define MAY_BEGIN (phase == open || phase == withdrawn)
#else
#define MAY_BEGIN (phase == open)
#endif
#ifdef WITHDRAW_BEGUN
#define MAY_WITHDRAW (phase == open || phase == begun)
#else
#define MAY_WITHDRAW (phase == open)
#endif

mtype = { none, open, begun, withdrawn };

byte intents;               /* intents written so far; their ids count from 1 */
bit sentIntent[4];          /* appends in transit to the log */
bit sentWithdrawal[4];
byte end;                   /* records in the log */
byte ownerAt[RECORDS];      /* owner of the key after folding that many records; 0 is none */
bit logged[4];              /* whether the intent is among the records */
byte loggedAt[4];
byte runs;

inline appendIntent(id) {
    d_step {
        sentIntent[id] = 0;
        logged[id] = 1;
#ifdef ANY_INTENT
        ownerAt[end + 1] = id;
#else
        ownerAt[end + 1] = (ownerAt[end] == 0 -> id : ownerAt[end]);
#endif
        end++;
        loggedAt[id] = end
    }
}

inline appendWithdrawal(id) {
    d_step {
        sentWithdrawal[id] = 0;
        ownerAt[end + 1] = (ownerAt[end] == id -> 0 : ownerAt[end]);
        end++
    }
}

/* A dropped append is one that this process never processes. */
active proctype Log() {
end_log:
    do
    :: atomic { (end < RECORDS - 1 && sentIntent[1]) -> appendIntent(1) }
    :: atomic { (end < RECORDS - 1 && sentIntent[2]) -> appendIntent(2) }
    :: atomic { (end < RECORDS - 1 && sentIntent[3]) -> appendIntent(3) }
    :: atomic { (end < RECORDS - 1 && sentWithdrawal[1]) -> appendWithdrawal(1) }
    :: atomic { (end < RECORDS - 1 && sentWithdrawal[2]) -> appendWithdrawal(2) }
    :: atomic { (end < RECORDS - 1 && sentWithdrawal[3]) -> appendWithdrawal(3) }
    od
}

active [DAEMONS] proctype Daemon() {
    byte mine;              /* its intent; 0 is none */
    mtype phase = none;
    byte seen;              /* records folded */

end_daemon:
    do
    :: atomic { mine == 0 && intents < INTENTS ->
        intents++;
        mine = intents;
        phase = open;
        sentIntent[mine] = 1
       }
    :: seen < end -> seen = end
    /* beginIntent: the intent has been read back and owns the key as far as this daemon has read. */
    :: atomic { (mine != 0 && logged[mine] && loggedAt[mine] <= seen && OWNS && MAY_BEGIN) -> phase = begun };
    /* The daemon may pause here for any time, or die. */
       if
       :: atomic { runs++; assert(runs <= 1) }
       :: mine = 0; phase = none; seen = 0
       fi
    /* withdrawIntent: first in the daemon's state, then by a record. */
    :: atomic { (mine != 0 && MAY_WITHDRAW) ->
        phase = withdrawn;
        sentWithdrawal[mine] = 1
       }
    /* Done with a withdrawn intent: a repeated call may write a new one. */
    :: atomic { mine != 0 && phase == withdrawn -> mine = 0; phase = none }
    /* The process dies; the next one on this VM starts without state and reads the log again. */
    :: atomic { mine != 0 -> mine = 0; phase = none; seen = 0 }
    od
}
