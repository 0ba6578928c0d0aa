import type { Millis } from "@azureshunt/core";

/** Longest time until the registry shows a version that an engine has loaded. */
const ENTRY_LAG_MS: Millis = 4_000;

export { ENTRY_LAG_MS };
