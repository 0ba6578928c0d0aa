import { request } from "undici";

import { readServerSentEvents } from "../dispatch/readServerSentEvents.js";
import type { EndpointWatch } from "./EndpointWatch.js";
import { EngineAnswers } from "./EngineAnswers.js";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * A connection may go silent for good while new ones to the engine work. Symptom: a stream without events. To prevent
 * this, a stream that is silent for this long is opened again after the last event applied, so no event is missed for
 * longer.
 */
const MAX_SILENCE_MS = 5_000;
const MIN_REOPEN_DELAY_MS = 50;
const MAX_JITTER_MS = 200;
const STATUS_OK = 200;

/**
 * Follows an engine's cache events until their stream ends, beginning after the last event applied.
 *
 * @returns milliseconds until the stream is to be opened again
 */
export async function followCache(watch: EndpointWatch, signal: AbortSignal): Promise<number> {
    const { spec, random, cursor, streams } = watch;
    const { incarnation, seq } = cursor();
    if (incarnation === undefined) {
        return MIN_REOPEN_DELAY_MS;
    }
    try {
        const res = await request(`${spec.url}/v1/cache-events?after=${seq}`, {
            signal,
            dispatcher: streams,
            headersTimeout: CONNECT_TIMEOUT_MS,
            bodyTimeout: MAX_SILENCE_MS,
        });
        if (res.statusCode !== STATUS_OK) {
            await res.body.dump();
            return MIN_REOPEN_DELAY_MS + random() * MAX_JITTER_MS;
        }
        for await (const data of readServerSentEvents(res.body)) {
            watch.onCacheEvent(EngineAnswers.cacheEvent.parse(JSON.parse(data)));
        }
    }
    catch {
        // A broken stream is opened again; events that it lost show as a gap in the sequence numbers.
    }
    return MIN_REOPEN_DELAY_MS + random() * MAX_JITTER_MS;
}
