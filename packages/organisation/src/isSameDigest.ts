import { timingSafeEqual } from "node:crypto";

/**
 * Compares two digests in constant time. Otherwise a caller could learn a valid digest bit by bit from the time that a
 * comparison takes.
 */
export function isSameDigest(a: string, b: string): boolean {
    const [left, right] = [Buffer.from(a), Buffer.from(b)];
    return left.length === right.length && timingSafeEqual(left, right);
}
