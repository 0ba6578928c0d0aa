import type { Millis } from "@azureshunt/core";
import type { ConfigurationRecord, ConfigurationState } from "@azureshunt/release";

/** Input events of `stepReader`. */
export type ReaderEvent =
    | {
        readonly kind: "page";
        /** First offset of the read. */
        readonly from: number;
        readonly start: number;
        readonly end: number;
        readonly records: readonly ConfigurationRecord[];
        /** How long this process did not run while the answer was on its way; the answer may have waited for as long. */
        readonly pausedMs: Millis;
    }
    /** The clock stood still for a time of unknown length. */
    | { readonly kind: "suspended"; }
    /** The log no longer keeps the requested records; `start` is the oldest one that it keeps. */
    | { readonly kind: "expired"; readonly start: number; }
    /** The log did not answer. */
    | { readonly kind: "failed"; }
    /** A peer answered with a snapshot of its state. */
    | { readonly kind: "pulled"; readonly fold: ConfigurationState; }
    /** A peer has this revision, and the log confirmed it as the newest one at time `at` of this daemon's clock. */
    | { readonly kind: "confirmed"; readonly revision: number; readonly digest: string; readonly at: Millis; }
    /** The first round of queries after the start gave a configuration, or its time is over. */
    | { readonly kind: "started"; };
