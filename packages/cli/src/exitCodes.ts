/** Exit codes of the command-line tool, as its help and the operators' page list them. */
const exitCodes = {
    done: 0,
    /** The daemon could not be reached, or failed. */
    failed: 1,
    /** Wrong usage, or a file with faults. Nothing was sent. */
    usage: 2,
    /** Refused: something else was accepted meanwhile. */
    conflict: 3,
    /** Accepted, and not in force everywhere within the wait. */
    notEverywhere: 4,
    /** Not known whether it took effect; running it again is safe. */
    notKnown: 5,
    /** The key was refused. */
    key: 6,
    /** There is no such thing. */
    notFound: 7,
} as const;

export { exitCodes };
