import type { Millis, VmId } from "@azureshunt/core";

/** A VM of this VM's failure domain that left or was dropped, so that its organisations have another home now. */
export type Departure = {
    readonly vm: VmId;
    /** When the last grant that it can have issued has expired; a hand-over from it ends the wait at once. */
    readonly waitUntil: Millis;
    /** Time at which buckets that it has not handed over count as empty; they accrue from then on. */
    readonly emptyFrom: Millis;
};
