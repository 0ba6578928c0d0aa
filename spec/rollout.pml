/*
 * The phases of a rollout at a VM that does not lead it.
 *
 * Models `learnPhase`, `versionChoice` and the times of statements in `createRollouts` of packages/router: the leader
 * states a phase again and again, its statements take any time and any order on their way, a VM may be cut off, and it
 * sends a request to the new version if the last phase that it learned is the trial and was stated lately. A statement's
 * age is measured from the VM's own timestamp that it echoes, however long it was on its way.
 *
 * Properties: a VM sends nothing to the new version later than FRESH after it was taken back, nor ever again once it has
 * learned that.
 *
 * Each of these removes one guard:
 * -DNO_RANK lets an older statement undo a newer one: the VM resumes a trial that has ended.
 * -DNO_FRESH lets the VM rely on a statement of any age: a VM that is cut off goes on for good.
 * -DNO_ECHO measures the age from the arrival: a statement that was delayed for long looks fresh.
 */
#define FRESH 2
#define MAX_TIME 7
#define CANARY 1
#define ROLLED_BACK 2

byte now = 0;
byte leaderPhase = CANARY;
byte takenBackAt = 99;

/* Two statements on their way: phase, and the time at which each was sent; 0 for none. */
byte sentPhase[2];
byte sentAt[2];

byte phase = 0;
byte statedAt = 0;
bool knowsEnd = false;

#ifdef NO_RANK
#define IS_NEWER(i) true
#else
#define IS_NEWER(i) (sentPhase[i] >= phase)
#endif

#ifdef NO_ECHO
#define STATED(i) now
#else
#define STATED(i) sentAt[i]
#endif

#ifdef NO_FRESH
#define IS_FRESH true
#else
#define IS_FRESH (now - statedAt < FRESH)
#endif

active proctype rollout()
{
    byte i;
    do
    :: now < MAX_TIME -> now++
    :: leaderPhase == CANARY -> atomic { leaderPhase = ROLLED_BACK; takenBackAt = now }
    :: atomic { sentPhase[0] == 0 -> sentPhase[0] = leaderPhase; sentAt[0] = now }
    :: atomic { sentPhase[1] == 0 -> sentPhase[1] = leaderPhase; sentAt[1] = now }
    /* A statement arrives at any time after it was sent; one that is lost never does. */
    :: atomic {
        if
        :: sentPhase[0] != 0 -> i = 0
        :: sentPhase[1] != 0 -> i = 1
        fi;
        if
        :: IS_NEWER(i) ->
            if
            :: sentPhase[i] == phase && STATED(i) < statedAt -> skip
            :: else -> statedAt = STATED(i)
            fi;
            phase = sentPhase[i];
            knowsEnd = knowsEnd || phase == ROLLED_BACK
        :: else -> skip
        fi;
        sentPhase[i] = 0
    }
    /* A request is sent to the new version. */
    :: atomic {
        phase == CANARY && IS_FRESH ->
            assert(takenBackAt == 99 || now <= takenBackAt + FRESH);
            assert(!knowsEnd)
    }
    :: now == MAX_TIME -> break
    od
}
