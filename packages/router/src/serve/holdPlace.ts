import type { Millis } from "@azureshunt/core";

import { callOnce } from "../dispatch/callOnce.js";
import { PROVEN_MAX_IDLE_MS } from "../dispatch/PROVEN_MAX_IDLE_MS.js";
import type { HoldId } from "../ports/HoldId.js";
import { tunnelTiming } from "../tunnel/tunnelTiming.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { TryPlace } from "./TryPlace.js";

/** A place that an engine keeps for a request. */
type HeldPlace = {
    readonly id: HoldId;
    /** Gives the place back, as the request does not come. */
    readonly release: () => void;
};

/** Time for which the engine keeps the place: its request follows at once, over a link of a few milliseconds. */
const HOLD_MS: Millis = 500;
/** An engine that takes longer to answer would not take the stream over in time either. */
const ANSWER_TIMEOUT_MS: Millis = 150;
/**
 * Whoever loses a stream may have lost its links to engines with it. The connection is then opened by a peer, or a peer's peer, and
 * the answer comes after that.
 */
const CALL_TIMEOUT_MS: Millis = tunnelTiming.connectMs + ANSWER_TIMEOUT_MS;
const OK = 200;

/** Asks an engine to keep a slot and memory for a request; resolves with `undefined` if it does not. */
export async function holdPlace(
    parts: Pick<ServeParts, "agent" | "declaredState" | "endpointWire" | "metrics">,
    served: Pick<ServedRequest, "service" | "notes">,
    { entry, memoryTokens }: Pick<TryPlace, "entry" | "memoryTokens">,
): Promise<HeldPlace | undefined> {
    const { agent, endpointWire } = parts;
    const holdMs = parts.declaredState().configuration?.services.get(served.service)?.engine?.holdMs;
    if (holdMs === undefined) {
        return undefined;
    }
    const call = endpointWire.encodeHold({
        endpoint: entry.name,
        tokens: memoryTokens,
        ttlMs: Math.min(holdMs, HOLD_MS),
    });
    // What lost the stream may have lost other connections without a sign.
    const res = await callOnce(
        agent,
        entry.address,
        { ...call, maxIdleMs: PROVEN_MAX_IDLE_MS },
        CALL_TIMEOUT_MS,
    );
    const id = res.kind === "answer" && res.status === OK ? endpointWire.decodeHold(res.body) : undefined;
    const end = id === undefined ? "refused" : "kept";
    parts.metrics.count("azureshunt_holds_total", "Places that engines were asked to keep for streams.", { end });
    served.notes.add("Place asked for.", { endpoint: entry.name, end });
    return id === undefined ? undefined : {
        id,
        release: () =>
            void callOnce(agent, entry.address, endpointWire.encodeHoldRelease(entry.name, id), CALL_TIMEOUT_MS),
    };
}
