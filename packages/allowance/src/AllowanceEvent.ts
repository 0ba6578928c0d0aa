import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { ChargePart } from "./ChargePart.js";
import type { GrantAnswer } from "./GrantAnswer.js";
import type { GrantAsk } from "./GrantAsk.js";
import type { HandedBucket } from "./HandedBucket.js";
import type { Home } from "./Home.js";
import type { Limits } from "./Limits.js";

/** What an organisation's allowance on one VM reacts to. */
export type AllowanceEvent =
    /** A request wants tokens. `id` is unique among those that wait. */
    | { readonly kind: "reserve"; readonly id: number; readonly tokens: Tokens; readonly deadline: Millis; }
    /** A waiting request is gone. */
    | { readonly kind: "abandon"; readonly id: number; }
    /** An admitted request has ended. */
    | { readonly kind: "settle"; readonly parts: readonly ChargePart[]; readonly used: Tokens; }
    /** Another VM asks this one as home. */
    | { readonly kind: "ask"; readonly from: VmId; readonly ask: GrantAsk; }
    /** A home answers. */
    | { readonly kind: "answer"; readonly from: VmId; readonly answer: GrantAnswer; }
    /** A home did not answer in time. */
    | { readonly kind: "unanswered"; readonly from: VmId; readonly seq: number; }
    /** A VM answered that it does not serve as home now. */
    | { readonly kind: "declined"; readonly from: VmId; readonly seq: number; }
    /** A home wants back what is not needed here. */
    | { readonly kind: "recall"; readonly from: VmId; readonly waitedMs: Millis; }
    /** Homes or limits have changed. */
    | {
        readonly kind: "placed";
        readonly limits: Limits;
        readonly homes: readonly Home[];
        readonly servesFrom: Millis | undefined;
    }
    /** The former home hands its bucket over. */
    | { readonly kind: "handed"; readonly bucket: HandedBucket; }
    /** This VM hands its bucket over, to nobody when the new home is not known. */
    | { readonly kind: "hand-over"; readonly to: VmId | undefined; }
    /** The daemon stops: all tokens held go back. */
    | { readonly kind: "drain"; }
    | { readonly kind: "tick"; };
