import type { Millis, VmId } from "@azureshunt/core";

import type { ChargePart } from "./ChargePart.js";
import type { GrantAnswer } from "./GrantAnswer.js";
import type { GrantAsk } from "./GrantAsk.js";
import type { HandedBucket } from "./HandedBucket.js";

/** Effect that the caller of `stepAllowance` has to carry out. */
export type AllowanceEffect =
    | { readonly kind: "admit"; readonly id: number; readonly parts: readonly ChargePart[]; }
    | {
        readonly kind: "refuse";
        readonly id: number;
        readonly reason: "over-rate" | "over-burst" | "allowance-unreachable";
        /** Undefined if a retry cannot help. */
        readonly retryAfterSeconds: number | undefined;
    }
    | { readonly kind: "ask"; readonly to: VmId; readonly ask: GrantAsk; }
    | { readonly kind: "answer"; readonly to: VmId; readonly answer: GrantAnswer; }
    /** The ask is not answered with a grant: this VM does not serve as home, or the ask was repeated or overtaken. */
    | { readonly kind: "decline"; readonly to: VmId; readonly seq: number; }
    /** Asks a VM to hand back its tokens, for requests elsewhere that have waited for `waitedMs`. */
    | { readonly kind: "recall"; readonly to: VmId; readonly waitedMs: Millis; }
    | { readonly kind: "hand-over"; readonly to: VmId; readonly bucket: HandedBucket; }
    /** Requests a tick at this time. */
    | { readonly kind: "wake"; readonly at: Millis; };
