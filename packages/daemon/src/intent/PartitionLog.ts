import type { RecordId } from "@azureshunt/core";
import type { IntentPartition, IntentRecord } from "@azureshunt/intent";
import type { Either } from "purify-ts";

/** The log stream of one partition of the intents. */
export type PartitionLog = {
    /** Returns the state of the records read so far. */
    readonly view: () => IntentPartition;
    /** Reads up to the log's end, taken after this call. Left if the log can't be read. */
    readonly catchUp: () => Promise<Either<Error, IntentPartition>>;
    /** Appends a record, batched with other appends. `unreachable`: nothing was written; `lost`: it may have been. */
    readonly append: (id: RecordId, record: IntentRecord) => Promise<Either<"unreachable" | "lost", void>>;
    /** Watches for the record of an id; the returned function returns whether the record has been read. */
    readonly watch: (id: RecordId) => () => boolean;
    readonly unwatch: (id: RecordId) => void;
    readonly stop: () => void;
};
