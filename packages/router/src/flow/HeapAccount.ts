import type { Millis } from "@azureshunt/core";

/** What the heap holds for one request until its answer is whole. */
export type HeapAccount = {
    /** In bytes. */
    readonly cost: number;
    /** Name of its route; none if it has none. */
    readonly kind: string | undefined;
    /** Less urgent ones have higher numbers. */
    priority: number;
    readonly arrivedAt: Millis;
    /** Refuses the request as not run; `false` if it has been passed on. `undefined` while it is read. */
    refuse: (() => boolean) | undefined;
};
