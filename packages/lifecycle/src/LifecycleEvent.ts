import type { ExitCause } from "./ExitCause.js";
import type { HandledSignal } from "./HandledSignal.js";

/**
 * What happens to a process. `started`: all its parts run. `start-failed`: those that had started are stopped again; that is
 * also the end of a start that was aborted. `drained`: no request runs any more and all parts are stopped. `drain-overdue`:
 * the time to stop is up.
 */
export type LifecycleEvent =
    | { readonly kind: "signal"; readonly signal: HandledSignal; }
    | { readonly kind: "started"; }
    | { readonly kind: "start-failed"; readonly cause: ExitCause; }
    | { readonly kind: "uncaught-error"; }
    | { readonly kind: "drained"; }
    | { readonly kind: "drain-overdue"; };
