import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

import type { createStreamKeeper } from "../../createStreamKeeper.js";
import type { RegisteredRun } from "../../RegisteredRun.js";

/** A VM with its keeper, its view of the registry, and its links. */
export type SimulatedVm = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    /** `undefined` while its process is not running. */
    readonly keeper: () => ReturnType<typeof createStreamKeeper> | undefined;
    /** Entries that it knows. */
    readonly view: () => readonly RegisteredRun[];
    /** Whether it has read the registry since its start. */
    readonly isReady: () => boolean;
    /** Whether it has been running, with all its links, for that long. */
    readonly isInTouch: (forMs: Millis) => boolean;
    readonly start: () => void;
    readonly kill: () => void;
    /** Cuts its links to the store, to its peers, or both; callers still reach it. */
    readonly cut: (links: "store" | "peers" | "all") => void;
    readonly heal: () => void;
    readonly reaches: (other: SimulatedVm) => boolean;
};
