import type { LeaseRecord } from "./LeaseRecord.js";

/** Encodes a record of the order lease: the holder's name, and its orders as JSON in a second line. */
export function encodeLeaseRecord({ holder, orders }: LeaseRecord): Buffer {
    if (orders === undefined) {
        return Buffer.from(holder);
    }
    const rows = [
        orders.orderable.map(({ endpoint, bornAt }) => [endpoint, bornAt]),
        orders.unanswered.map(({ endpoint, bornAt, ordersTaken, ageMs }) => [
            endpoint,
            bornAt,
            ordersTaken ?? null,
            // Rounded down, so that an order is never taken for one that was sent earlier.
            Math.floor(ageMs),
        ]),
        orders.targets,
    ];
    return Buffer.from(`${holder}\n${JSON.stringify(rows)}`);
}
