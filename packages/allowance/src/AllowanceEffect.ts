import type { Millis, VmId } from "@azureshunt/core";

import type { ChargePart } from "./ChargePart.js";
import type { GrantAnswer } from "./GrantAnswer.js";
import type { GrantAsk } from "./GrantAsk.js";
import type { HandedBucket } from "./HandedBucket.js";

/** What an organisation's allowance wants done. */
export type AllowanceEffect =
    | { readonly kind: "admit"; readonly id: number; readonly parts: readonly ChargePart[]; }
    | {
        readonly kind: "refuse";
        readonly id: number;
        readonly reason: "over-rate" | "over-burst" | "allowance-unreachable";
        /** Undefined where coming back does not help. */
        readonly retryAfterSeconds: number | undefined;
    }
    | { readonly kind: "ask"; readonly to: VmId; readonly ask: GrantAsk; }
    | { readonly kind: "answer"; readonly to: VmId; readonly answer: GrantAnswer; }
    /** The ask gets no answer that counts: this VM is not home, or the ask was a repetition. */
    | { readonly kind: "decline"; readonly to: VmId; readonly seq: number; }
    /** Requests that have waited for `waitedMs` lack tokens that this VM holds. */
    | { readonly kind: "recall"; readonly to: VmId; readonly waitedMs: Millis; }
    | { readonly kind: "hand-over"; readonly to: VmId; readonly bucket: HandedBucket; }
    /** A tick is wanted at this moment. */
    | { readonly kind: "wake"; readonly at: Millis; };
