import type { DaemonContext } from "../ports/DaemonContext.js";
import type { IntentRecorder } from "./IntentRecorder.js";
import type { OwnIntents } from "./OwnIntents.js";
import type { PartitionLog } from "./PartitionLog.js";

/** Dependencies of admitting requests. */
export type IntentParts = {
    readonly ctx: DaemonContext;
    readonly own: OwnIntents;
    readonly recorder: IntentRecorder;
    /** Returns the log of a partition, by its number from 0. */
    readonly partition: (number: number) => PartitionLog;
};
