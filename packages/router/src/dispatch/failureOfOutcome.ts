import type { TryFailure } from "@azureshunt/request";

import type { TryOutcome } from "./TryOutcome.js";

type FailedKind = Exclude<TryOutcome, "answered" | "cancelled">;

const FAILURES: Readonly<Record<FailedKind, TryFailure>> = {
    refused: { kind: "refused", full: true },
    elsewhere: { kind: "refused", full: false },
    unreached: { kind: "unreached" },
    withheld: { kind: "unreached" },
    broken: { kind: "died" },
    silent: { kind: "silent" },
    failed: { kind: "failed" },
    garbled: { kind: "crossed" },
    // As after silence, the endpoint ran part of the request, and another one has to run the rest.
    moved: { kind: "silent" },
};

/** Converts the outcome of a failed try to the failure from which the next step is decided. */
export function failureOfOutcome(kind: FailedKind): TryFailure {
    return FAILURES[kind];
}
