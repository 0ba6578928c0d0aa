import type { RecordId } from "@azureshunt/core";
import type { LogPort } from "@azureshunt/log";
import { Left, Right } from "purify-ts";

type Records = ReturnType<LogPort["append"]> extends Promise<unknown> ? { id: RecordId; data: unknown; }[] : never;

const POLL_MS = 5;

/** A log in memory that several daemons share, with switches to simulate failures. */
export class FakeLog {
    readonly records: Records = [];
    /** Records before this offset have expired. */
    start = 0;
    /** Number of next appends that take effect, but whose answers are lost. */
    loseAnswers = 0;
    /** Number of next appends that fail without effect. */
    refuseAppends = 0;

    /** Creates the log port of one daemon; the log is unreachable while `isCut` returns true. */
    port(isCut: () => boolean = () => false): LogPort {
        const append: LogPort["append"] = (_stream, records) => {
            if (isCut() || this.refuseAppends > 0) {
                this.refuseAppends -= 1;
                return Promise.resolve(Left({ kind: "unreachable" as const }));
            }
            const offsets = records.map(record => this.records.push({ ...record }) - 1);
            this.loseAnswers -= 1;
            return Promise.resolve(this.loseAnswers >= 0 ? Left({ kind: "lost" as const }) : Right(offsets));
        };
        const read: LogPort["read"] = async (_stream, from, limit, waitMs) => {
            const end = Date.now() + waitMs;
            while (!isCut() && this.records.length <= from && Date.now() < end) {
                await new Promise(resolve => setTimeout(resolve, POLL_MS));
            }
            if (isCut()) {
                return Left({ kind: "unreachable" as const });
            }
            if (from < this.start) {
                return Left({ kind: "expired" as const, start: this.start, end: this.records.length });
            }
            const records = this.records
                .map((record, offset) => ({ ...record, offset, at: offset }))
                .slice(from, from + limit);
            return Right({ start: this.start, end: this.records.length, records });
        };
        return { append, read };
    }
}
