import type { EndpointWatch } from "./EndpointWatch.js";
import { EngineAnswers } from "./EngineAnswers.js";
import { getJson } from "./getJson.js";

const TIMEOUT_MS = 1_000;
const PAUSE_MS = 150;
const FAILED_PAUSE_MS = 500;
/** A lag beyond this is put down to the clocks and left out. */
const MAX_LAG_MS = 1_000;

/**
 * Milliseconds by which a report lags, by the two machines' clocks. It only shifts an estimate; clocks that are apart
 * cost some of its accuracy and nothing else.
 */
function lagOf(reportedAt: number, epoch: number): number {
    const lag = epoch - reportedAt;
    return lag >= 0 && lag <= MAX_LAG_MS ? lag : 0;
}

/** Asks an engine for its load once; gives the pause until the next time. */
export async function pollLoad(watch: EndpointWatch): Promise<number> {
    const { spec, clock, dispatcher, onEvent } = watch;
    const askedAt = clock.now();
    const answer = await getJson(dispatcher, `${spec.url}/v1/load`, EngineAnswers.load, TIMEOUT_MS);
    answer.ifRight(({ incarnation, running, waiting, waitingTokens, at }) => {
        const now = clock.now();
        const measuredAt = now - lagOf(at, clock.epoch());
        onEvent({
            kind: "load-reported",
            askedAt,
            report: { incarnation, running, waiting, waitingTokens, measuredAt },
        });
    });
    return answer.isRight() ? PAUSE_MS : FAILED_PAUSE_MS;
}
