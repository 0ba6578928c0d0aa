import { RecordId } from "@azureshunt/core";
import type { LogPort } from "@azureshunt/log";
import { Left, Right } from "purify-ts";

type Fault = "none" | "unreachable" | "lost" | "swallowed";

/** A log in memory whose next appends can be made to fail. */
type FakeLog = LogPort & {
    /**
     * Sets the fault of the next append. `unreachable`: it fails, not written; `lost`: written, its answer lost;
     * `swallowed`: not written, its answer lost.
     */
    readonly failNext: (fault: Fault) => void;
    readonly setDown: (isDown: boolean) => void;
};

/** Creates a log in memory, shared by the daemons of a test. */
export function createFakeLog(): FakeLog {
    const streams = new Map<string, { offset: number; id: RecordId; at: number; data: unknown; }[]>();
    const faults: Fault[] = [];
    const down = { is: false };
    const recordsOf = (stream: string) => streams.get(stream) ?? [];

    const append: LogPort["append"] = (stream, records) => {
        const fault = down.is ? "unreachable" : faults.shift() ?? "none";
        if (fault === "unreachable" || fault === "swallowed") {
            return Promise.resolve(Left({ kind: fault === "swallowed" ? "lost" as const : "unreachable" as const }));
        }
        const stored = recordsOf(stream);
        const added = records.map(({ id, data }, index) => ({
            offset: stored.length + index,
            id: RecordId.parse(id),
            at: stored.length + index,
            data: JSON.parse(JSON.stringify(data)) as unknown,
        }));
        streams.set(stream, [...stored, ...added]);
        return Promise.resolve(
            fault === "lost" ? Left({ kind: "lost" as const }) : Right(added.map(({ offset }) => offset)),
        );
    };
    const read: LogPort["read"] = (stream, from, limit) => {
        const stored = recordsOf(stream);
        return Promise.resolve(
            down.is
                ? Left({ kind: "unreachable" as const })
                : Right({ start: 0, end: stored.length, records: stored.slice(from, from + limit) }),
        );
    };
    return {
        append,
        read,
        failNext: fault => void faults.push(fault),
        setDown: isDown => {
            down.is = isDown;
        },
    };
}
