import type { Millis, RecordId } from "@azureshunt/core";
import type { ReleaseNote, Verdict } from "@azureshunt/release";
import { releaseRecord } from "@azureshunt/release";

import type { LogPort } from "../ports/LogPort.js";
import type { AcceptOutcome } from "./AcceptOutcome.js";
import { configurationStream } from "./configurationStream.js";

const ACCEPT_TIMEOUT_MS = 6_000;
const VERDICT_WAIT_MS = 1_000;
const RETRY_MS = 250;

/** Dependencies of `acceptNote`. */
type AcceptParts = {
    readonly append: LogPort["append"];
    /** Resolves to the verdict on a record, or to `undefined` if none is known when the wait ends. */
    readonly verdictOf: (id: RecordId, waitMs: number) => Promise<Verdict | undefined>;
    readonly now: () => Millis;
};

/**
 * Appends a release note to the log and waits for the verdict of the fold.
 *
 * If the log appends the record but its answer is lost, appending the note again as another record would make it
 * conflict with itself, and the operator would read that it was refused while it is in force. To prevent this, the
 * daemon first looks for its own record and appends again only under the same id, which the fold counts once.
 *
 * @param id id of the record, the same for all attempts at one change
 */
export async function acceptNote(parts: AcceptParts, id: RecordId, note: ReleaseNote): Promise<AcceptOutcome> {
    const { append, verdictOf, now } = parts;
    const giveUpAt = now() + ACCEPT_TIMEOUT_MS;
    const remainingMs = (): number => Math.max(giveUpAt - now(), 0);

    const attempt = async (mayBeAppendedBefore: boolean): Promise<AcceptOutcome> => {
        const appended = await append(configurationStream, [{ id, data: releaseRecord(note) }]);
        const failure = appended.swap().toMaybe().extract();
        const mayBeAppended = mayBeAppendedBefore || failure?.kind !== "unreachable";
        const waitMs = failure === undefined
            ? remainingMs()
            : Math.min(remainingMs(), mayBeAppended ? VERDICT_WAIT_MS : RETRY_MS);
        const verdict = await verdictOf(id, waitMs);
        if (verdict !== undefined) {
            return verdict;
        }
        return remainingMs() > 0 ? attempt(mayBeAppended) : { kind: mayBeAppended ? "not-known" : "not-appended", id };
    };

    return await verdictOf(id, 0) ?? await attempt(false);
}
