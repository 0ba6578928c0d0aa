import type { Verdict } from "./Verdict.js";

/**
 * Result of folding one record: a verdict on a release note, or one of these.
 *
 * - `repeated`: a record with the same id was folded before, with the verdict `first`.
 * - `snapshot-adopted`: the state is now that of the snapshot, and reading continues at the state's offset.
 * - `snapshot-ignored`: the snapshot contains nothing new, or is invalid.
 * - `already-folded`: the record lies before the state's offset.
 * - `gap`: records between the state's offset and this one have not been read; only a snapshot can close the gap.
 * - `unknown`: not a known kind of configuration record.
 */
export type FoldOutcome = Verdict | {
    readonly kind: "repeated";
    readonly first: Verdict;
} | {
    readonly kind: "snapshot-adopted" | "snapshot-ignored" | "already-folded" | "gap" | "unknown";
};
