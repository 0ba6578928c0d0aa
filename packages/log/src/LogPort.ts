import type { RecordId } from "@azureshunt/core";
import type { Either } from "purify-ts";

/** One record of a stream of the platform's log. `data` is what the writer gave. */
type LogRecord = { readonly offset: number; readonly id: RecordId; readonly at: number; readonly data?: unknown; };

/** What a read gives: `start` is the oldest offset still kept, `end` the offset of the next record. */
type LogPage = { readonly start: number; readonly end: number; readonly records: readonly LogRecord[]; };

/** `lost`: no answer came, and the append may have taken effect. `expired`: `from` lies before `start`. */
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
