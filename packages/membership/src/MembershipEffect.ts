import type { VmId } from "@azureshunt/core";

import type { MembershipRecord } from "./MembershipRecord.js";

/** What the membership wants done. */
export type MembershipEffect =
    | { readonly kind: "append"; readonly record: MembershipRecord; }
    /** Ask a VM to hand over what is homed here now. */
    | { readonly kind: "ask-hand-over"; readonly of: VmId; readonly joinedAt: number; }
    /** Members or homes have changed. */
    | { readonly kind: "changed"; };
