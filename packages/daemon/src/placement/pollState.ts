import type { Incarnation } from "@azureshunt/core";
import type { EndpointEvent, HeldWeights } from "@azureshunt/endpoint";
import type { Either } from "purify-ts";
import { z } from "zod";

import type { EndpointWatch } from "./EndpointWatch.js";
import { EngineAnswers } from "./EngineAnswers.js";
import { getJson } from "./getJson.js";

const TIMEOUT_MS = 1_000;
const PAUSE_MS = 1_000;
/** An endpoint that is down is asked more often, so that it gets work soon after it is back. */
const DOWN_PAUSE_MS = 150;

/** What an endpoint says of itself. */
type EndpointAnswer = {
    readonly incarnation: Incarnation | undefined;
    readonly ready: boolean;
    readonly holds: readonly HeldWeights[];
};

async function ask({ spec, dispatcher }: EndpointWatch): Promise<Either<Error, EndpointAnswer>> {
    if (spec.kind === "model") {
        return getJson(dispatcher, `${spec.url}/v1/state`, EngineAnswers.state, TIMEOUT_MS);
    }
    const health = await getJson(dispatcher, `${spec.url}/health`, z.unknown(), TIMEOUT_MS);
    return health.map(() => ({ incarnation: undefined, ready: true, holds: [] }));
}

/** Asks an endpoint for its state once; gives the pause until the next time. */
export async function pollState(watch: EndpointWatch): Promise<number> {
    const askedAt = watch.clock.now();
    const answer = await ask(watch);
    if (answer.isRight()) {
        watch.onEvent({ kind: "round-trip", ms: watch.clock.now() - askedAt });
    }
    watch.onEvent(answer.caseOf<EndpointEvent>({
        Left: () => ({ kind: "probe-failed" }),
        Right: state => ({ kind: "state-reported", askedAt, ...state }),
    }));
    return answer.caseOf({ Left: () => DOWN_PAUSE_MS, Right: ({ ready }) => ready ? PAUSE_MS : DOWN_PAUSE_MS });
}
