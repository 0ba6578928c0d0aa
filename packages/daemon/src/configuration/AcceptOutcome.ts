import type { RecordId } from "@azureshunt/core";
import type { Verdict } from "@azureshunt/release";

/**
 * What an operator is told of a release note.
 *
 * `not-appended`: the log could not be reached, and the note was surely not taken. `not-known`: the log may have taken
 * it and its answer was lost; the note may come into force later. Appending it again under the same id is harmless.
 */
export type AcceptOutcome = Verdict | {
    readonly kind: "not-appended" | "not-known";
    readonly id: RecordId;
};
