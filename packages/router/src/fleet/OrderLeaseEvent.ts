import type { Millis, VmId } from "@azureshunt/core";

/** What happens to the lease. */
export type OrderLeaseEvent =
    | {
        readonly kind: "read";
        readonly records: readonly { readonly offset: number; readonly holder: VmId; }[];
        readonly end: number;
    }
    /** This VM's record was appended; the call had been sent at `askedAt`. */
    | { readonly kind: "appended"; readonly offset: number; readonly askedAt: Millis; }
    /** Another record came first, or no answer came: the stream has to be read. */
    | { readonly kind: "unsure"; }
    /** Another VM vouches that a record has been there for `ageMs`. */
    | { readonly kind: "vouched"; readonly offset: number; readonly holder: VmId; readonly ageMs: Millis; }
    /** The process may have been suspended. */
    | { readonly kind: "paused"; }
    /** `rank`: how many VMs go before this one; `isWanted`: whether there are orders to give. */
    | { readonly kind: "tick"; readonly isWanted: boolean; readonly rank: number; };
