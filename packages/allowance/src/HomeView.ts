import type { Millis, Tokens, VmId } from "@azureshunt/core";

/** State of a home as known to one VM, for logs. */
export type HomeView = {
    readonly home: VmId;
    /**
     * `here`: this VM is the home; `barred`: this VM is the home but may not serve yet; `declining` and `unanswered`:
     * how the latest ask to it ended; `heard`: it answered recently; `unheard`: it has never answered, or not recently.
     */
    readonly state: "here" | "barred" | "declining" | "unanswered" | "unheard" | "heard";
    /** Time in this state; for `heard` and `unheard`, time since its last answer. */
    readonly forMs: Millis;
    /** Tokens free in its bucket as of its last answer. */
    readonly free: Tokens;
    /** Tokens of its bucket that other VMs held then. */
    readonly elsewhere: Tokens;
};
