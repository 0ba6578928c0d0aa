import type { Millis, VmId } from "@azureshunt/core";

/** A VM of the own failure domain that left or was dropped: its organisations have another home now. */
export type Departure = {
    readonly vm: VmId;
    /** When the last grant that it can have given has run out. */
    readonly clearAt: Millis;
    /** From when buckets that it has not handed over count as empty. */
    readonly emptyFrom: Millis;
};
