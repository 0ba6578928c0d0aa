import type { Millis, Tokens, VmId } from "@azureshunt/core";

/** What one VM knows of a home, for logs. */
export type HomeView = {
    readonly home: VmId;
    /**
     * `here`: it is this VM; `barred`: it is this VM, which may not serve yet; `declining` and `unanswered`: how its latest ask
     * ended; `unheard`: it has not told anything lately; `heard`: it has.
     */
    readonly state: "here" | "barred" | "declining" | "unanswered" | "unheard" | "heard";
    /** Time in this state; of the last answer for those that were heard. */
    readonly forMs: Millis;
    /** Tokens free in its bucket when it last told, and those that other VMs held. */
    readonly free: Tokens;
    readonly elsewhere: Tokens;
};
