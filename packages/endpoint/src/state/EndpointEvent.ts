import type { DispatchId, FailureDomain, Incarnation, Millis, Tokens } from "@azureshunt/core";

import type { HeldWeights } from "./HeldWeights.js";
import type { LoadReport } from "./LoadReport.js";

/** What happens to an endpoint. Answers name the time of asking, so that a late one cannot bring back a former run. */
export type EndpointEvent =
    | {
        readonly kind: "declared";
        readonly url: string;
        readonly failureDomain: FailureDomain;
        readonly leaving: boolean;
    }
    | {
        readonly kind: "dispatched";
        readonly dispatchId: DispatchId;
        readonly prefillTokens: Tokens;
        /** Tokens that stand before it at the endpoint, as estimated. */
        readonly backlogTokens: Tokens;
    }
    | {
        /** The head of the answer came: the endpoint has taken the request up. */
        readonly kind: "accepted";
        readonly dispatchId: DispatchId;
        readonly incarnation: Incarnation | undefined;
        /** Tokens of the prompt that the endpoint really computes, where it said so. */
        readonly prefillTokens: Tokens | undefined;
    }
    | { readonly kind: "first-token"; readonly dispatchId: DispatchId; }
    | {
        readonly kind: "ended";
        readonly dispatchId: DispatchId;
        readonly outcome: "complete" | "refused" | "died" | "cancelled";
    }
    | { readonly kind: "load-reported"; readonly report: LoadReport; readonly askedAt: Millis; }
    /** Another VM has sent the endpoint work. */
    | { readonly kind: "dispatched-elsewhere"; readonly prefillTokens: Tokens; readonly sentAt: Millis; }
    /** Another VM observed the endpoint's speed. */
    | { readonly kind: "speed-observed"; readonly msPerToken: number; }
    | { readonly kind: "round-trip"; readonly ms: Millis; }
    | {
        readonly kind: "state-reported";
        readonly incarnation: Incarnation | undefined;
        readonly ready: boolean;
        readonly holds: readonly HeldWeights[];
        readonly askedAt: Millis;
    }
    | { readonly kind: "probe-failed"; };
