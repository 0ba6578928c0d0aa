import type { SUSPECT_TIMES } from "./SUSPECT_TIMES.js";

/** Timeouts and intervals in milliseconds; see `SUSPECT_TIMES`. */
export type SuspectTimes = Readonly<Record<keyof typeof SUSPECT_TIMES, number>>;
