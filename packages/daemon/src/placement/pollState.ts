import type { Incarnation } from "@azureshunt/core";
import type { EndpointEvent, HeldWeights } from "@azureshunt/endpoint";
import type { Either } from "purify-ts";
import { z } from "zod";

import type { EndpointWatch } from "./EndpointWatch.js";
import { EngineAnswers } from "./EngineAnswers.js";
import { getJson } from "./getJson.js";

const TIMEOUT_MS = 1_000;
const POLL_INTERVAL_MS = 1_000;
/** An endpoint that is down or not ready is polled more often, so that it gets work soon after it is back. */
const DOWN_POLL_INTERVAL_MS = 150;

/** State that an endpoint reports. */
type EndpointAnswer = {
    readonly incarnation: Incarnation | undefined;
    readonly ready: boolean;
    readonly holds: readonly HeldWeights[];
};

async function requestState({ spec, dispatcher }: EndpointWatch): Promise<Either<Error, EndpointAnswer>> {
    if (spec.kind === "model") {
        return getJson(dispatcher, `${spec.url}/v1/state`, EngineAnswers.state, TIMEOUT_MS);
    }
    const health = await getJson(dispatcher, `${spec.url}/health`, z.unknown(), TIMEOUT_MS);
    return health.map(() => ({ incarnation: undefined, ready: true, holds: [] }));
}

/** Polls the state of an endpoint once, and returns the milliseconds until the next poll. */
export async function pollState(watch: EndpointWatch): Promise<number> {
    const requestedAt = watch.clock.now();
    const answer = await requestState(watch);
    if (answer.isRight()) {
        watch.onEvent({ kind: "round-trip", ms: watch.clock.now() - requestedAt });
    }
    watch.onEvent(answer.caseOf<EndpointEvent>({
        Left: () => ({ kind: "probe-failed" }),
        Right: state => ({ kind: "state-reported", requestedAt, ...state }),
    }));
    return answer.caseOf({
        Left: () => DOWN_POLL_INTERVAL_MS,
        Right: ({ ready }) => ready ? POLL_INTERVAL_MS : DOWN_POLL_INTERVAL_MS,
    });
}
