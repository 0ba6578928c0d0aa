import type { Millis, RecordId } from "@azureshunt/core";
import type { ReleaseNote, Verdict } from "@azureshunt/release";
import { releaseRecord } from "@azureshunt/release";

import type { LogPort } from "../ports/LogPort.js";
import type { AcceptOutcome } from "./AcceptOutcome.js";
import { configurationStream } from "./configurationStream.js";

const ACCEPT_BOUND_MS = 6_000;
const LOOK_MS = 1_000;
const RETRY_MS = 250;

/** What appending a note needs. */
type AcceptParts = {
    readonly append: LogPort["append"];
    /** Settles with the verdict on a record, or with undefined when none is known by the end of the wait. */
    readonly verdictOf: (id: RecordId, waitMs: number) => Promise<Verdict | undefined>;
    readonly now: () => Millis;
};

/**
 * Appends a release note and waits for what the fold makes of it.
 *
 * Failure: the log takes the record and its answer is lost. Appended anew as another record, the operator's note would
 * conflict with itself, and the operator would be told that it was refused while it is in force. The guard: the daemon
 * looks for its own record first and appends again only under the same id, which the fold counts once.
 *
 * @param id of the record; the same id for every try of one change
 */
export async function acceptNote(parts: AcceptParts, id: RecordId, note: ReleaseNote): Promise<AcceptOutcome> {
    const { append, verdictOf, now } = parts;
    const giveUpAt = now() + ACCEPT_BOUND_MS;
    const left = (): number => Math.max(giveUpAt - now(), 0);

    const attempt = async (mayBeTaken: boolean): Promise<AcceptOutcome> => {
        const appended = await append(configurationStream, [{ id, data: releaseRecord(note) }]);
        const failure = appended.swap().toMaybe().extract();
        const isTaken = mayBeTaken || failure?.kind !== "unreachable";
        const waitMs = failure === undefined ? left() : Math.min(left(), isTaken ? LOOK_MS : RETRY_MS);
        const verdict = await verdictOf(id, waitMs);
        if (verdict !== undefined) {
            return verdict;
        }
        return left() > 0 ? attempt(isTaken) : { kind: isTaken ? "not-known" : "not-appended", id };
    };

    return await verdictOf(id, 0) ?? await attempt(false);
}
