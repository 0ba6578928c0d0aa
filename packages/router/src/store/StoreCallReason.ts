/** Why a VM calls the store. */
export type StoreCallReason =
    /** It reads the newest record of each key, as it knows none, or missed records that are not kept any more. */
    | "first"
    /** It reads for the other VMs. */
    | "reader"
    /** What it knows is too old, as no VM has confirmed it for long. */
    | "follower"
    /** Another VM knows something else. */
    | "changed"
    /** The versions of weights that it knows of engines are no longer confirmed. */
    | "versions"
    /** Its last call failed. */
    | "retry"
    /** It takes, renews or follows the order lease. */
    | "lease"
    /** It reads what VMs have recorded for each other. */
    | "recorded"
    /** It records something for other VMs. */
    | "record";
