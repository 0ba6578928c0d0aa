import type { Clock, EndpointName, Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointHead } from "../ports/EndpointHead.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

type AvailabilityParts = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** How a request came to an endpoint. */
type TryPath = "first" | "further" | "resumed";

type Statements = { readonly bornAt: number; readonly isLeaving: boolean; readonly pausedUntil: Millis; };

/** What endpoints have said in their answers of whether they want requests. */
type Availability = {
    /** Records what a genuine answer to a request says. */
    readonly observe: (
        entry: EndpointEntry,
        head: Pick<EndpointHead, "isLeaving" | "retryAfterMs" | "requestId">,
    ) => void;
    /** Records that a request is sent to an endpoint. */
    readonly recordTry: (entry: EndpointEntry, path: TryPath) => void;
    /** Number of endpoints that have said that they leave. */
    readonly leaving: () => number;
    /** Number of endpoints that want no requests of this VM now. */
    readonly paused: () => number;
};

/** Creates the state in which no endpoint has said anything. */
export function createAvailability({ clock, logger, metrics }: AvailabilityParts): Availability {
    const all = new Map<EndpointName, Statements>();
    const of = ({ name, bornAt }: EndpointEntry): Statements => {
        const known = all.get(name);
        return known?.bornAt === bornAt ? known : { bornAt, isLeaving: false, pausedUntil: -Infinity };
    };
    const observe: Availability["observe"] = (entry, { isLeaving, retryAfterMs, requestId }) => {
        const { name: endpoint, bornAt } = entry;
        const before = of(entry);
        const now = clock.now();
        if (isLeaving && !before.isLeaving) {
            logger.info({ endpoint, bornAt, requestId }, "An endpoint says that it leaves.");
        }
        if (typeof retryAfterMs === "number" && before.pausedUntil <= now) {
            logger.info({ endpoint, bornAt, requestId, retryAfterMs }, "An endpoint asks for a pause.");
        }
        if (isLeaving || typeof retryAfterMs === "number") {
            all.set(endpoint, {
                bornAt,
                isLeaving: isLeaving || before.isLeaving,
                pausedUntil: Math.max(before.pausedUntil, now + (typeof retryAfterMs === "number" ? retryAfterMs : 0)),
            });
        }
    };
    const recordTry: Availability["recordTry"] = (entry, path) => {
        const { isLeaving, pausedUntil } = of(entry);
        if (isLeaving || pausedUntil > clock.now()) {
            metrics.count(
                "azureshunt_tries_at_unavailable_total",
                "Tries at endpoints that have said that they leave, or asked for a pause, by how the request came there.",
                { said: isLeaving ? "leaving" : "pause", path },
            );
        }
    };
    return {
        observe,
        recordTry,
        leaving: () => [...all.values()].filter(({ isLeaving }) => isLeaving).length,
        paused: () => [...all.values()].filter(({ pausedUntil }) => pausedUntil > clock.now()).length,
    };
}
