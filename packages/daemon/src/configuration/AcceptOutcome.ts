import type { RecordId } from "@azureshunt/core";
import type { Verdict } from "@azureshunt/release";

/**
 * Outcome of submitting a release note.
 *
 * `not-appended`: the log was unreachable, so the note was certainly not appended. `not-known`: the log may have
 * appended the note, but its answer was lost; the note may still come into force. Appending it again under the same id
 * is harmless.
 */
export type AcceptOutcome = Verdict | {
    readonly kind: "not-appended" | "not-known";
    readonly id: RecordId;
};
