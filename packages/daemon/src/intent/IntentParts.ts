import type { DaemonContext } from "../ports/DaemonContext.js";
import type { IntentRecorder } from "./IntentRecorder.js";
import type { OwnIntents } from "./OwnIntents.js";
import type { PartitionLog } from "./PartitionLog.js";

/** What admitting requests works with. */
export type IntentParts = {
    readonly ctx: DaemonContext;
    readonly own: OwnIntents;
    readonly recorder: IntentRecorder;
    readonly partition: (number: number) => PartitionLog;
};
