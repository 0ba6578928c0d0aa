import type { EndpointName } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointHead } from "../ports/EndpointHead.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

type LimitParts = {
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** How a request came to an endpoint. */
type TryPath = "first" | "further" | "resumed";

/** Limits that endpoints name in their answers. */
type EndpointLimits = {
    /** Records what an answer of an endpoint says of its limit. */
    readonly observe: (entry: EndpointEntry, limit: EndpointHead["limit"]) => void;
    /** Records that a request is sent to an endpoint. */
    readonly recordTry: (entry: EndpointEntry, path: TryPath) => void;
    /** Number of endpoints that are limited. */
    readonly size: () => number;
};

/** Creates the state in which no endpoint is limited. */
export function createEndpointLimits({ logger, metrics }: LimitParts): EndpointLimits {
    const limits = new Map<EndpointName, { readonly bornAt: number; readonly perSecond: number; }>();
    const observe: EndpointLimits["observe"] = ({ name: endpoint, bornAt }, limit) => {
        if (limit === "unreadable") {
            return;
        }
        const known = limits.get(endpoint);
        const before = known?.bornAt === bornAt ? known.perSecond : undefined;
        if (before === limit) {
            return;
        }
        if (limit === undefined) {
            limits.delete(endpoint);
        }
        else {
            limits.set(endpoint, { bornAt, perSecond: limit });
        }
        logger.info({ endpoint, bornAt, perSecond: limit, before }, "The limit of an endpoint changed.");
    };
    const recordTry: EndpointLimits["recordTry"] = ({ name: endpoint, bornAt }, path) => {
        if (limits.get(endpoint)?.bornAt === bornAt) {
            metrics.count(
                "azureshunt_tries_at_limited_total",
                "Tries at endpoints that name a limit, by how the request came there.",
                { path },
            );
        }
    };
    return { observe, recordTry, size: () => limits.size };
}
