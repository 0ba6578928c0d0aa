import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { ChargePart } from "./ChargePart.js";
import type { GrantAnswer } from "./GrantAnswer.js";
import type { GrantAsk } from "./GrantAsk.js";
import type { HandedBucket } from "./HandedBucket.js";
import type { Home } from "./Home.js";
import type { Limits } from "./Limits.js";

/** Event that changes an organisation's allowance on one VM. */
export type AllowanceEvent =
    /** A request needs tokens. `id` is unique among waiting requests. */
    | { readonly kind: "reserve"; readonly id: number; readonly tokens: Tokens; readonly deadline: Millis; }
    /** The caller of a waiting request is gone. */
    | { readonly kind: "abandon"; readonly id: number; }
    /** An admitted request has ended. */
    | { readonly kind: "settle"; readonly parts: readonly ChargePart[]; readonly used: Tokens; }
    /** Another VM asks this one, as home, for tokens. */
    | { readonly kind: "ask"; readonly from: VmId; readonly ask: GrantAsk; }
    /** A home answered an ask. */
    | { readonly kind: "answer"; readonly from: VmId; readonly answer: GrantAnswer; }
    /** A home did not answer in time. */
    | { readonly kind: "unanswered"; readonly from: VmId; readonly seq: number; }
    /** A VM answered that it does not serve as home now. */
    | { readonly kind: "declined"; readonly from: VmId; readonly seq: number; }
    /** A home asks for the tokens that are not needed here. */
    | { readonly kind: "recall"; readonly from: VmId; readonly waitedMs: Millis; }
    /** Homes or limits have changed. */
    | {
        readonly kind: "placed";
        readonly limits: Limits;
        readonly homes: readonly Home[];
        readonly servesFrom: Millis | undefined;
    }
    /** The former home has handed its bucket over to this VM. */
    | { readonly kind: "handed"; readonly bucket: HandedBucket; }
    /** This VM gives up its bucket: hands it over to the new home, or drops it if the new home is not known. */
    | { readonly kind: "hand-over"; readonly to: VmId | undefined; }
    /** The daemon stops: all tokens held are handed back. */
    | { readonly kind: "drain"; }
    | { readonly kind: "tick"; };
