import type { SuspectedDeath } from "@azureshunt/request";

/** A death as this VM tells it to others. */
export function deathRow({ id, endpoint, running, complete }: SuspectedDeath): object {
    return { id, endpoint, running, gathered: true, complete };
}
