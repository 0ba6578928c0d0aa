import type { TryFailure } from "@azureshunt/request";

import type { TryOutcome } from "./TryOutcome.js";

type FailedKind = Exclude<TryOutcome, "answered" | "cancelled">;

const FAILURES: Readonly<Record<FailedKind, TryFailure>> = {
    refused: { kind: "refused", full: true },
    elsewhere: { kind: "refused", full: false },
    unreached: { kind: "unreached" },
    broken: { kind: "died" },
    silent: { kind: "silent" },
    failed: { kind: "failed" },
    garbled: { kind: "crossed" },
    // As with silence: the endpoint ran a part, and the rest is asked for elsewhere.
    moved: { kind: "silent" },
};

/** Gives a failed try in the terms in which the next step is decided. */
export function failureOfOutcome(kind: FailedKind): TryFailure {
    return FAILURES[kind];
}
