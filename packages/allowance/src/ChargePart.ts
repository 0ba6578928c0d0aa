import type { Incarnation, Tokens, VmId } from "@azureshunt/core";

/** Part of a charge with the home it was taken from, so that unused tokens are refunded there. */
export type ChargePart = {
    readonly home: VmId;
    readonly homeIncarnation: Incarnation | undefined;
    /** Slot, by the home's clock, at or before the charge. */
    readonly slot: number;
    readonly tokens: Tokens;
};
