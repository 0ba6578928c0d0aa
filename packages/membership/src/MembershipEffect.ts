import type { VmId } from "@azureshunt/core";

import type { MembershipRecord } from "./MembershipRecord.js";

/** Effect that the caller of `stepMembership` has to carry out. */
export type MembershipEffect =
    | { readonly kind: "append"; readonly record: MembershipRecord; }
    /** Asks a VM to hand over the buckets whose home is this VM now; `joinedAt` is the log offset of the own join. */
    | { readonly kind: "ask-hand-over"; readonly of: VmId; readonly joinedAt: number; }
    /** Members or homes have changed. */
    | { readonly kind: "changed"; };
