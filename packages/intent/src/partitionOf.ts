import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { KeyDigest } from "./KeyDigest.js";

const PREFIX_DIGITS = 8;
const HEXADECIMAL = 16;

/** Returns the number of the partition that holds a key, counted from 0 and the same on every VM. */
export function partitionOf(key: KeyDigest): number {
    return Number.parseInt(key.slice(0, PREFIX_DIGITS), HEXADECIMAL) % INTENT_LIMITS.partitions;
}
