import type { EndpointName, ServiceName } from "@azureshunt/core";

import type { Continuation } from "./Continuation.js";
import type { EndpointRun } from "./EndpointRun.js";
import { isContradicted } from "./isContradicted.js";
import type { KnownOrigin } from "./KnownOrigin.js";
import { mayContinueAt } from "./mayContinueAt.js";
import type { StreamOrigin } from "./StreamOrigin.js";

/** What a VM knows when it decides where a stream may go on. */
type ContinuationQuery = {
    readonly known: KnownOrigin["origin"] | undefined;
    /** The service to which the request's route leads. */
    readonly service: ServiceName;
    /** The only version at which the stream can have begun, if it began at that service; `undefined` if there is none. */
    readonly soleVersion: string | undefined;
    /** Whether the registry is current here or at a peer that was asked, without which `soleVersion` may be outdated. */
    readonly isCurrent: boolean;
    readonly entryOf: (endpoint: EndpointName) => EndpointRun | undefined;
    /** Endpoints of a service that take requests and may get them by the state of its rollout. */
    readonly servingRuns: (service: ServiceName) => readonly EndpointRun[];
    /** Whether the route leads to a service. */
    readonly isTarget: (service: ServiceName) => boolean;
};

const originOf = ({ known, service, soleVersion, isCurrent, entryOf }: ContinuationQuery): StreamOrigin | undefined => {
    if (known === undefined) {
        return soleVersion !== undefined && isCurrent
            ? { service, softwareVersion: soleVersion, first: undefined }
            : undefined;
    }
    const first = known === "ambiguous" ? undefined : known.first;
    const isCertain = known !== "ambiguous" && !isContradicted(known, first && entryOf(first.name));
    return isCertain ? known : undefined;
};

/**
 * Decides whether a stream may go on, and where.
 *
 * Endpoints of several software versions may serve side by side, and an endpoint appends its events to whatever it is
 * asked to continue. A stream goes on only where it is certain that it began at the same version.
 */
export function decideContinuation(query: ContinuationQuery): Continuation {
    const origin = originOf(query);
    if (origin === undefined) {
        return { kind: "origin-unknown" };
    }
    return query.isTarget(origin.service) && query.servingRuns(origin.service).some(run => mayContinueAt(origin, run))
        ? { kind: "continue", origin }
        : { kind: "version-gone" };
}
