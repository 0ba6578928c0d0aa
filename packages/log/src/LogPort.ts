import type { RecordId } from "@azureshunt/core";
import type { Either } from "purify-ts";

/** Record of a stream of the platform's log. `data` is the value that the writer appended. */
type LogRecord = { readonly offset: number; readonly id: RecordId; readonly at: number; readonly data?: unknown; };

/** Result of a read. `start` is the oldest offset in the log, `end` the offset of the next record to be appended. */
type LogPage = { readonly start: number; readonly end: number; readonly records: readonly LogRecord[]; };

/** `lost`: no answer was received, and the append may have taken effect. `expired`: `from` is before `start`. */
type LogFailure =
    | { readonly kind: "unreachable" | "lost"; }
    | { readonly kind: "expired"; readonly start: number; readonly end: number; };

/** The platform's append-only log. */
export type LogPort = {
    readonly append: (
        stream: string,
        records: readonly { readonly id: RecordId; readonly data: unknown; }[],
    ) => Promise<Either<LogFailure, readonly number[]>>;
    readonly read: (
        stream: string,
        from: number,
        limit: number,
        waitMs: number,
        signal: AbortSignal,
    ) => Promise<Either<LogFailure, LogPage>>;
};
