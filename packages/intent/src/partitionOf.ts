import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { KeyDigest } from "./KeyDigest.js";

const PREFIX_DIGITS = 8;
const HEXADECIMAL = 16;

/** The partition that holds a key: a number from 0, the same on every VM. */
export function partitionOf(key: KeyDigest): number {
    return Number.parseInt(key.slice(0, PREFIX_DIGITS), HEXADECIMAL) % INTENT_LIMITS.partitions;
}
