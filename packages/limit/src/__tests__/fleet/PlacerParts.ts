import type { Millis } from "@azureshunt/core";

/** Facts of the fleet that a placer reads. */
export type PlacerParts = {
    readonly vms: () => number;
    readonly silentVms: () => number;
    readonly random: () => number;
    /** Takes a request's permit from the holder of an endpoint; `false` if it has none left or does not answer. */
    readonly askHolder: (endpoint: number, now: Millis) => boolean;
};
