import type { EndpointName, FailureDomain, Incarnation, Millis } from "@azureshunt/core";

import type { HeldWeights } from "./HeldWeights.js";
import type { InFlight } from "./InFlight.js";
import type { LoadReport } from "./LoadReport.js";
import type { OwnLoad } from "./OwnLoad.js";
import type { PeerDispatch } from "./PeerDispatch.js";
import type { PrefillSample } from "./PrefillSample.js";

/** What this VM knows about one endpoint. */
export type EndpointState = {
    readonly name: EndpointName;
    readonly failureDomain: FailureDomain;
    readonly url: string;
    /** Whether the endpoint is leaving: it gets no new work, but its running streams finish. */
    readonly leaving: boolean;
    /** The current incarnation; undefined until the endpoint reports it, and always for plain services. */
    readonly incarnation: Incarnation | undefined;
    /** When an answer first showed the current incarnation; `-Infinity` until then. */
    readonly incarnationSeenAt: Millis;
    /** `unknown` until the first answer. A `down` endpoint gets no work until a probe succeeds. */
    readonly health: "unknown" | "up" | "down";
    /** Whether the endpoint reports that it accepts work. */
    readonly ready: boolean;
    /** Times of failures within the window, oldest first; failures close together count once. */
    readonly failures: readonly Millis[];
    readonly holds: readonly HeldWeights[];
    readonly inFlight: readonly InFlight[];
    readonly report: LoadReport | undefined;
    /** Recent work sent by other VMs, oldest first; a report measured later includes it. */
    readonly peerDispatches: readonly PeerDispatch[];
    /** This VM's own part of the load during the last seconds, oldest first. */
    readonly ownHistory: readonly OwnLoad[];
    /** Observations of the engine's prefill speed, oldest first. */
    readonly prefillSamples: readonly PrefillSample[];
    /** Durations from dispatch to end of recent complete dispatches, oldest first. */
    readonly durations: readonly Millis[];
    /** Round-trip times of recent polls, oldest first. */
    readonly roundTrips: readonly Millis[];
    /** Maximum number of running requests in any report. */
    readonly maxRunning: number;
    /** Number of consecutive reports with `maxRunning` requests running and others waiting. */
    readonly consecutiveFullReports: number;
};
