import type { SuspectedDeath } from "@azureshunt/request";

/** Returns the message about a death that this VM sends to others. */
export function deathMessageOf({ id, endpoint, running, complete }: SuspectedDeath): object {
    return { id, endpoint, running, gathered: true, complete };
}
