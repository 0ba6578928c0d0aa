import type { EndpointWatch } from "./EndpointWatch.js";
import { EngineAnswers } from "./EngineAnswers.js";
import { getJson } from "./getJson.js";

const TIMEOUT_MS = 1_000;
const POLL_INTERVAL_MS = 150;
const FAILED_POLL_INTERVAL_MS = 500;
/** A larger lag is attributed to the clocks and ignored. */
const MAX_LAG_MS = 1_000;

/**
 * Returns the age of a report in milliseconds by the clocks of the two machines; 0 if it cannot be right. It only
 * shifts an estimate, so clocks that differ only make that estimate less accurate.
 */
function lagOf(reportedAt: number, nowEpoch: number): number {
    const lag = nowEpoch - reportedAt;
    return lag >= 0 && lag <= MAX_LAG_MS ? lag : 0;
}

/** Polls the load of an engine once, and returns the milliseconds until the next poll. */
export async function pollLoad(watch: EndpointWatch): Promise<number> {
    const { spec, clock, dispatcher, onEvent } = watch;
    const requestedAt = clock.now();
    const answer = await getJson(dispatcher, `${spec.url}/v1/load`, EngineAnswers.load, TIMEOUT_MS);
    answer.ifRight(({ incarnation, running, waiting, waitingTokens, at }) => {
        const now = clock.now();
        const measuredAt = now - lagOf(at, clock.epoch());
        onEvent({
            kind: "load-reported",
            requestedAt,
            report: { incarnation, running, waiting, waitingTokens, measuredAt },
        });
    });
    return answer.isRight() ? POLL_INTERVAL_MS : FAILED_POLL_INTERVAL_MS;
}
