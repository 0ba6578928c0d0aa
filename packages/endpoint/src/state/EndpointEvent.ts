import type { DispatchId, FailureDomain, Incarnation, Millis, Tokens } from "@azureshunt/core";

import type { HeldWeights } from "./HeldWeights.js";
import type { LoadReport } from "./LoadReport.js";

/** Event of an endpoint. Answers carry the time of their request, so a late one cannot restore a past incarnation. */
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
        /** Estimated prompt tokens that the endpoint has to prefill before this dispatch. */
        readonly backlogTokens: Tokens;
    }
    | {
        /** The head of the answer arrived: the endpoint has accepted the request. */
        readonly kind: "accepted";
        readonly dispatchId: DispatchId;
        readonly incarnation: Incarnation | undefined;
        /** Prompt tokens that the endpoint actually computes; undefined if it did not report them. */
        readonly prefillTokens: Tokens | undefined;
    }
    | { readonly kind: "first-token"; readonly dispatchId: DispatchId; }
    | {
        readonly kind: "ended";
        readonly dispatchId: DispatchId;
        readonly outcome: "complete" | "refused" | "died" | "cancelled";
    }
    | { readonly kind: "load-reported"; readonly report: LoadReport; readonly requestedAt: Millis; }
    /** Another VM sent work to the endpoint. */
    | { readonly kind: "dispatched-elsewhere"; readonly prefillTokens: Tokens; readonly sentAt: Millis; }
    /** Another VM observed the endpoint's prefill speed. */
    | { readonly kind: "speed-observed"; readonly msPerToken: number; }
    | { readonly kind: "round-trip"; readonly ms: Millis; }
    | {
        readonly kind: "state-reported";
        readonly incarnation: Incarnation | undefined;
        readonly ready: boolean;
        readonly holds: readonly HeldWeights[];
        readonly requestedAt: Millis;
    }
    | { readonly kind: "probe-failed"; };
