import type { StreamOrigin } from "@azureshunt/continuation";
import { refusalOf } from "@azureshunt/core";
import type { Refusal } from "@azureshunt/core";

import { isStream } from "./isStream.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

type Resolved =
    /** `origin` is undefined if the request does not take a stream up. */
    | { readonly kind: "served"; readonly origin: StreamOrigin | undefined; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Finds out where the stream began that a request takes up, and whether it may go on. */
export async function resolveContinuation(parts: ServeParts, served: ServedRequest): Promise<Resolved> {
    const { caller, route, service, organisation, notes } = served;
    const isTakenUp = caller.lastEventId !== undefined || caller.begunBy !== undefined;
    if (!isStream(route.kind) || !isTakenUp) {
        return { kind: "served", origin: undefined };
    }
    const { continuation, source } = await parts.streams.resolve({
        organisation: organisation?.id,
        begunBy: caller.begunBy,
        service,
        isTarget: target => route.targets.some(each => each.service === target),
    });
    parts.metrics.count(
        "azureshunt_streams_resumed_total",
        "Streams that callers took up, by what was decided and where it was known where they began.",
        { decision: continuation.kind, source },
    );
    notes.add("Stream taken up.", {
        decision: continuation.kind,
        source,
        origin: continuation.kind === "continue" ? continuation.origin : undefined,
    });
    switch (continuation.kind) {
        case "continue":
            return { kind: "served", origin: continuation.origin };
        case "origin-unknown":
            return { kind: "refused", refusal: refusalOf("stream-origin-unknown") };
        case "version-gone":
            return { kind: "refused", refusal: refusalOf("stream-version-gone") };
    }
}
