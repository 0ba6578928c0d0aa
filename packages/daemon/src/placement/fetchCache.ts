import type { EndpointWatch } from "./EndpointWatch.js";
import { EngineAnswers } from "./EngineAnswers.js";
import { getJson } from "./getJson.js";

const TIMEOUT_MS = 2_000;

/** Requests the complete cache of an engine, needed after a start or after missed events. */
export async function fetchCache(watch: EndpointWatch): Promise<void> {
    const { dispatcher, spec, onCacheSnapshot } = watch;
    const snapshot = await getJson(dispatcher, `${spec.url}/v1/cache`, EngineAnswers.cache, TIMEOUT_MS);
    snapshot.ifRight(onCacheSnapshot);
}
