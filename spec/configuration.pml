/*
 * The configuration: several readers fold one log whose records expire, and pull state from one another.
 *
 * Models foldRecord, adoptState and snapshotRecord of packages/release, and from packages/daemon/src/configuration the
 * tailing of the log (stepReader), the operator's append whose answer is lost (createReleasePort: accept), gossip, and
 * the re-appending of snapshots. Not modelled: the contents of notes (a note is its id), time, and message transport.
 *
 * Properties: the revision of a reader never goes back; two readers never differ at the same revision; a note written
 * against a revision is accepted only directly after it; a note takes effect at most once; and once nothing more is
 * appended, every reader reaches the newest revision (otherwise a reader is left in an invalid end state).
 *
 * Each of these removes one guard: -DNO_BASE, -DNO_REPEAT, -DNO_GAP, -DNO_FURTHER, -DNO_IDS, -DNO_REFRESH.
 */

#define READERS 2
#define OPERATORS 2
#define SLOTS 4          /* maximum records in the log in a run */
#define SNAPSHOTS 1      /* snapshots appended in a run */
#define PULLS 2          /* pulls from a peer in a run */
#define NO_BASE_GIVEN 7  /* a note that names no base revision */
#define REVISIONS 8

/* The folded state of a reader, in a snapshot record, or in transit from a peer. */
typedef Fold {
    byte offset;         /* next record to fold */
    byte revision;
    byte digest;         /* chained over the ids of the accepted notes */
    byte ids             /* bit set of the record ids folded so far */
};

typedef Record {
    bool isSnapshot;
    byte id;
    byte base;
    Fold fold
};

Record log[SLOTS];
byte logStart = 0;
byte logEnd = 0;
Fold reader[READERS];
Fold pulled[READERS];    /* a peer's answer in transit */
bool isPulled[READERS];
byte pulls = 0;
byte operatorsDone = 0;
byte snapshotsTaken = 0; /* snapshots taken, perhaps not yet appended */
byte snapshotsDone = 0;
byte seen[REVISIONS];    /* digest of the first reader to reach a revision */
byte last = 0;           /* final revision of the first reader to finish, plus 1 */

inline copy(to, from) {
    to.offset = from.offset; to.revision = from.revision; to.digest = from.digest; to.ids = from.ids
}

/* Checks the properties after each change of a reader's state. */
inline observe(me, before) {
    assert(reader[me].revision >= before);
    if
    :: reader[me].revision > 0 && seen[reader[me].revision] == 0 -> seen[reader[me].revision] = reader[me].digest
    :: else -> assert(reader[me].revision == 0 || seen[reader[me].revision] == reader[me].digest)
    fi
}

/* adoptState */
inline adopt(me, other) {
#ifdef NO_FURTHER
    copy(reader[me], other)
#else
    if
    :: other.offset > reader[me].offset && other.revision >= reader[me].revision -> copy(reader[me], other)
    :: else
    fi
#endif
}

/* foldRecord, for a record at the reader's offset */
inline foldNext(me, at) {
    reader[me].offset = at + 1;
    if
    :: log[at].isSnapshot
    :: else ->
        if
#ifndef NO_REPEAT
        :: (reader[me].ids & (1 << log[at].id)) != 0
#endif
        :: else ->
            if
#ifndef NO_BASE
            :: log[at].base != NO_BASE_GIVEN && log[at].base != reader[me].revision
#endif
            :: else ->
                assert(log[at].base == NO_BASE_GIVEN || log[at].base == reader[me].revision);
                assert(reader[me].digest % 4 != log[at].id && reader[me].digest / 4 % 4 != log[at].id);
                assert(reader[me].digest / 16 % 4 != log[at].id);
                reader[me].revision++;
                reader[me].digest = reader[me].digest * 4 + log[at].id
            fi;
            reader[me].ids = reader[me].ids | (1 << log[at].id)
        fi
    fi
}

/* foldRecord after a gap: adopts the first snapshot that is ahead of the reader */
inline crossGap(me, at) {
#ifdef NO_GAP
    reader[me].offset = logStart
#else
    at = logStart;
    do
    :: at < logEnd && !(log[at].isSnapshot && log[at].fold.offset > reader[me].offset) -> at++
    :: else -> break
    od;
    if
    :: at < logEnd -> adopt(me, log[at].fold)
    :: else
    fi
#endif
}

#define IS_QUIET (operatorsDone == OPERATORS && snapshotsTaken == SNAPSHOTS && snapshotsDone == SNAPSHOTS)
#define HAS_SNAPSHOT (logStart < logEnd && ( \
    (log[0].isSnapshot && logStart <= 0 && log[0].fold.offset >= logStart) || \
    (log[1].isSnapshot && logStart <= 1 && log[1].fold.offset >= logStart) || \
    (log[2].isSnapshot && logStart <= 2 && log[2].fold.offset >= logStart) || \
    (log[3].isSnapshot && logStart <= 3 && log[3].fold.offset >= logStart)))

proctype Reader(byte me) {
    byte at;
    byte before;
    do
    :: d_step { reader[me].offset >= logStart && reader[me].offset < logEnd ->
        before = reader[me].revision;
        at = reader[me].offset;
        foldNext(me, at);
        observe(me, before);
        at = 0; before = 0 }
    :: d_step { reader[me].offset < logStart && HAS_SNAPSHOT ->
        before = reader[me].revision;
        crossGap(me, at);
        observe(me, before);
        at = 0; before = 0 }
#ifdef NO_GAP
    :: d_step { reader[me].offset < logStart -> reader[me].offset = logStart }
#endif
    :: d_step { !isPulled[me] && pulls < PULLS ->
        copy(pulled[me], reader[(me + 1) % READERS]);
        isPulled[me] = true;
        pulls++ }
    :: d_step { isPulled[me] ->
        before = reader[me].revision;
        adopt(me, pulled[me]);
        isPulled[me] = false;
        pulled[me].offset = 0; pulled[me].revision = 0; pulled[me].digest = 0; pulled[me].ids = 0;
        observe(me, before);
        before = 0 }
    :: d_step { IS_QUIET && !isPulled[me] && reader[me].offset == logEnd ->
        assert(last == 0 || last == reader[me].revision + 1);
        last = reader[me].revision + 1 } break
    od
}

/* Appends one note through its own reader; if the answer is lost, appends the same record id again. */
proctype Operator(byte id; byte via; bool givesBase; byte most) {
    byte base = NO_BASE_GIVEN;
    byte tries = 0;
    atomic {
        if
        :: givesBase -> base = reader[via].revision
        :: else
        fi
    }
    do
    :: d_step { tries < most ->
        log[logEnd].id = id;
        log[logEnd].base = base;
        logEnd++;
        tries++ }
    :: d_step { tries > 0 ->            /* answered, or found its id in the log */
        base = 0;
        tries = 0;
        operatorsDone++ } break
    od
}

/* Appends a reader's state as a snapshot, which may be outdated by the time it is appended. */
proctype Snapshotter(byte via) {
    Fold taken;
    d_step {
        copy(taken, reader[via]);
#ifdef NO_IDS
        taken.ids = 0;
#endif
        snapshotsTaken++ }
    d_step {
        log[logEnd].isSnapshot = true;
        copy(log[logEnd].fold, taken);
        taken.offset = 0; taken.revision = 0; taken.digest = 0; taken.ids = 0;
        logEnd++;
        snapshotsDone++ }
}

/* Drops the oldest record, only once the log contains a snapshot that covers it: snapshots are re-appended in time. */
proctype Retention() {
    byte at;
    bool isHeld;
    do
    :: logStart < 4 -> d_step { logStart < logEnd ->
        isHeld = false;
        at = logStart + 1;
        do
        :: at < logEnd -> isHeld = isHeld || (log[at].isSnapshot && log[at].fold.offset > logStart); at++
        :: else -> break
        od;
#ifdef NO_REFRESH
        isHeld = true;
#endif
        if
        :: isHeld -> logStart++
        :: else
        fi;
        isHeld = false;
        at = 0 }
    :: break
    od
}

init {
    atomic {
        run Reader(0);
        run Reader(1);
        run Operator(1, 0, true, 1);
        run Operator(2, 1, false, 2);
        run Snapshotter(0);
        run Retention()
    }
}
