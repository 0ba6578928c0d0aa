import type { GrantAsk } from "@azureshunt/allowance";
import type { Millis, OrganisationId, VmId } from "@azureshunt/core";

/** Message that the allowance actor sends to another daemon. */
export type AllowanceMessage =
    | { readonly kind: "ask"; readonly organisation: OrganisationId; readonly to: VmId; readonly ask: GrantAsk; }
    | {
        readonly kind: "recall";
        readonly organisation: OrganisationId;
        readonly to: VmId;
        readonly waitedMs: Millis;
    }
    | { readonly kind: "request-hand-over"; readonly from: VmId; readonly joinedAt: number; };
