import type { OrderLease } from "./OrderLease.js";

/** Returns whether the record right before `offset` is of this process: it does not take the lease over then. */
export function isOwnBefore({ ownOffset }: OrderLease, offset: number): boolean {
    return ownOffset === offset - 1;
}
