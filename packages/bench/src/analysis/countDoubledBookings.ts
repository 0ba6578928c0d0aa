import type { ServiceRun } from "@azureshunt/standins";

/** Counts repeated runs of idempotency keys over all replicas of a service. */
export function countDoubledBookings(runs: readonly ServiceRun[]): number {
    const keys = runs.flatMap(({ organisation, idempotencyKey }) =>
        idempotencyKey === undefined ? [] : [`${organisation} ${idempotencyKey}`]
    );
    return keys.length - new Set(keys).size;
}
