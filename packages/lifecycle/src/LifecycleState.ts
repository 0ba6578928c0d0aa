import type { ExitCause } from "./ExitCause.js";
import type { LifecyclePhase } from "./LifecyclePhase.js";

/** Where a process is in its life. */
export type LifecycleState = {
    readonly phase: LifecyclePhase;
    /** Why it ends; `undefined` until that is decided. */
    readonly cause: ExitCause | undefined;
    /** Whether all its parts run, or have run. */
    readonly hasStarted: boolean;
    /** Whether it was told to read its settings again while it was starting. */
    readonly isReloadDue: boolean;
    /** Errors that nothing has caught. */
    readonly uncaughtErrors: number;
};
