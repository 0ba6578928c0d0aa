/** Exit codes of the command-line tool. Its help and the operators' documentation list them as well. */
const exitCodes = {
    done: 0,
    /** The daemon could not be reached, or failed. */
    failed: 1,
    /** Usage error, or a file with faults. Nothing was sent. */
    usage: 2,
    /** Refused, because another change was accepted in the meantime. */
    conflict: 3,
    /** Accepted, but not in force on all VMs before the wait ended. */
    notEverywhere: 4,
    /** Unknown whether the change took effect; running the command again is safe. */
    notKnown: 5,
    /** The administration key was refused. */
    key: 6,
    /** The requested item does not exist. */
    notFound: 7,
} as const;

export { exitCodes };
