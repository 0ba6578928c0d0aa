import type { LeaseRecord } from "./LeaseRecord.js";

/** Encodes a record of the order lease: the holder's name, and what it states as JSON in a second line. */
export function encodeLeaseRecord({ holder, stated }: LeaseRecord): Buffer {
    if (stated === undefined) {
        return Buffer.from(holder);
    }
    const rows = [
        stated.orderable.map(({ endpoint, bornAt }) => [endpoint, bornAt]),
        stated.unanswered.map(({ endpoint, bornAt, ordersTaken, ageMs }) => [
            endpoint,
            bornAt,
            ordersTaken ?? null,
            // Rounded down, so that an order is never taken for one that was sent earlier.
            Math.floor(ageMs),
        ]),
        stated.targets,
    ];
    return Buffer.from(`${holder}\n${JSON.stringify(rows)}`);
}
