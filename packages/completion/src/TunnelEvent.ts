import type { ConnectionEnd } from "./ConnectionEnd.js";

/** What ends a tunnel. */
export type TunnelEvent =
    /** The connection to the endpoint, or to the VM that uses the tunnel, has ended. */
    | {
        readonly kind: "ended";
        readonly side: "endpoint" | "vm";
        readonly end: Exclude<ConnectionEnd, "open">;
        /** Whether all bytes from the endpoint, and their end, have been sent to the VM. */
        readonly areAllSent: boolean;
    }
    /** The carrier ends the tunnel by itself. */
    | { readonly kind: "given-up"; readonly reason: "idle" | "stopped"; readonly areAllSent: boolean; };
