import type { EndpointName, FailureDomain, Incarnation, Millis } from "@azureshunt/core";

import type { HeldWeights } from "./HeldWeights.js";
import type { InFlight } from "./InFlight.js";
import type { LoadReport } from "./LoadReport.js";
import type { OtherDispatch } from "./OtherDispatch.js";
import type { OwnLoad } from "./OwnLoad.js";
import type { PrefillSample } from "./PrefillSample.js";

/** What this VM knows of one endpoint. */
export type EndpointState = {
    readonly name: EndpointName;
    readonly failureDomain: FailureDomain;
    readonly url: string;
    /** A leaving endpoint gets no new work; its streams finish. */
    readonly leaving: boolean;
    /** The current run; undefined until the endpoint has told it, and always for plain services. */
    readonly incarnation: Incarnation | undefined;
    /** When an answer first showed the current run. */
    readonly incarnationSeenAt: Millis;
    /** `unknown` before the first answer. A `down` endpoint gets no work until a probe succeeds. */
    readonly health: "unknown" | "up" | "down";
    /** Whether the endpoint says that it takes work. */
    readonly ready: boolean;
    /** Times of failures within the window, the oldest first; failures close together count once. */
    readonly failures: readonly Millis[];
    readonly holds: readonly HeldWeights[];
    readonly inFlight: readonly InFlight[];
    readonly report: LoadReport | undefined;
    /** Work that other VMs sent lately, the oldest first; a report that was measured later contains it. */
    readonly others: readonly OtherDispatch[];
    /** This VM's own part of the load over the last seconds, the oldest first. */
    readonly ownHistory: readonly OwnLoad[];
    /** Observations of the engine's speed, the oldest first. */
    readonly prefillSamples: readonly PrefillSample[];
    /** Milliseconds from dispatch to end, of recent complete dispatches, the oldest first. */
    readonly durations: readonly Millis[];
    /** Milliseconds there and back, of recent polls, the oldest first. */
    readonly roundTrips: readonly Millis[];
    /** Most requests that reports showed running. */
    readonly maxRunning: number;
    /** Reports in a row that showed so many running and others waiting. */
    readonly fullReports: number;
};
