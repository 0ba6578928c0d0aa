import { request } from "undici";

import { readServerSentEvents } from "../dispatch/readServerSentEvents.js";
import type { EndpointWatch } from "./EndpointWatch.js";
import { EngineAnswers } from "./EngineAnswers.js";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Failure: the connection goes silent for good while new ones to the engine work; it shows as a stream without events.
 * Guard: a stream that is silent this long is opened anew after the last event known, so nothing is missed for longer.
 */
const SILENCE_MS = 5_000;
const FIRST_PAUSE_MS = 50;
const JITTER_MS = 200;

/**
 * Follows an engine's cache events until their stream ends. Begins with the events after the last one known.
 *
 * @returns milliseconds until the next try
 */
export async function followCache(watch: EndpointWatch, signal: AbortSignal): Promise<number> {
    const { spec, random, cursor, streams } = watch;
    const { incarnation, seq } = cursor();
    if (incarnation === undefined) {
        return FIRST_PAUSE_MS;
    }
    try {
        const res = await request(`${spec.url}/v1/cache-events?after=${seq}`, {
            signal,
            dispatcher: streams,
            headersTimeout: CONNECT_TIMEOUT_MS,
            bodyTimeout: SILENCE_MS,
        });
        for await (const data of readServerSentEvents(res.body)) {
            watch.onCacheEvent(EngineAnswers.cacheEvent.parse(JSON.parse(data)));
        }
    }
    catch {
        // A broken stream is opened anew; what it lost shows as a gap in the numbers.
    }
    return FIRST_PAUSE_MS + random() * JITTER_MS;
}
