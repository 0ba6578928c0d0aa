import type { RecordId } from "@azureshunt/core";
import type { IntentPartition, IntentRecord } from "@azureshunt/intent";
import type { Either } from "purify-ts";

/** One partition of the intents, as the log has it. */
export type PartitionLog = {
    /** What has been read so far. */
    readonly view: () => IntentPartition;
    /** Reads up to an end that the log had after this call. Left when the log can't be read. */
    readonly catchUp: () => Promise<Either<Error, IntentPartition>>;
    /** Appends, together with what others append meanwhile. `unreachable` has no effect, `lost` may have one. */
    readonly append: (id: RecordId, record: IntentRecord) => Promise<Either<"unreachable" | "lost", void>>;
    /** Has the record of this id noticed; the returned function tells whether it has been read. */
    readonly watch: (id: RecordId) => () => boolean;
    readonly unwatch: (id: RecordId) => void;
    readonly stop: () => void;
};
