import type { Verdict } from "./Verdict.js";

/**
 * What the fold made of one record.
 *
 * `repeated`: a record of the same id was folded before, with that verdict. `snapshot-ignored`: a snapshot that tells
 * nothing new. `snapshot-taken`: the state is now the snapshot's, and reading goes on at the state's offset. `passed`:
 * the record lies before the state's offset. `gap`: records between the state's offset and this one have not been
 * read; only a snapshot helps. `unknown`: not a record of the configuration.
 */
export type FoldOutcome = Verdict | {
    readonly kind: "repeated";
    readonly first: Verdict;
} | {
    readonly kind: "snapshot-taken" | "snapshot-ignored" | "passed" | "gap" | "unknown";
};
