import type { GrantAsk } from "@azureshunt/allowance";
import type { Millis, OrganisationId, VmId } from "@azureshunt/core";

/** What the actor of the allowances sends to other daemons. */
export type AllowanceMessage =
    | { readonly kind: "ask"; readonly organisation: OrganisationId; readonly to: VmId; readonly ask: GrantAsk; }
    | {
        readonly kind: "recall";
        readonly organisation: OrganisationId;
        readonly to: VmId;
        readonly waitedMs: Millis;
    }
    | { readonly kind: "ask-hand-over"; readonly of: VmId; readonly joinedAt: number; };
