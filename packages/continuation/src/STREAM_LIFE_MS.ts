import type { Millis } from "@azureshunt/core";

/** Longest time from a stream's first event until its caller gives up, so that it cannot be taken up any more. */
const STREAM_LIFE_MS: Millis = 30_000;

export { STREAM_LIFE_MS };
