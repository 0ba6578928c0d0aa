import type { Incarnation, Tokens, VmId } from "@azureshunt/core";

/** Where a part of a charge was taken from, so that what is not used goes back there. */
export type ChargePart = {
    readonly home: VmId;
    readonly homeRun: Incarnation | undefined;
    /** Slot of the home's clock at or before the charge. */
    readonly slot: number;
    readonly tokens: Tokens;
};
