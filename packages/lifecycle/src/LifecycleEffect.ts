import type { ExitCause } from "./ExitCause.js";

/**
 * What a process has to do. `abort-start`: give the start up at its next step. `refuse`: refuse new requests from now on.
 * `drain`: let running requests finish, then stop all parts. `cut`: cut off what still runs.
 */
export type LifecycleEffect =
    | { readonly kind: "reload"; }
    | { readonly kind: "abort-start"; }
    | { readonly kind: "refuse"; }
    | { readonly kind: "drain"; }
    | { readonly kind: "cut"; }
    | { readonly kind: "exit"; readonly cause: ExitCause; };
