import type { Millis } from "@azureshunt/core";
import type { ConfigurationRecord, ConfigurationState } from "@azureshunt/release";

/** What the reader of the configuration stream learns. */
export type ReaderEvent =
    | {
        readonly kind: "page";
        /** Offset that was asked for. */
        readonly from: number;
        readonly start: number;
        readonly end: number;
        readonly records: readonly ConfigurationRecord[];
    }
    /** The records asked for are no longer kept. */
    | { readonly kind: "expired"; readonly start: number; }
    /** The log did not answer. */
    | { readonly kind: "failed"; }
    /** A peer gave its state. */
    | { readonly kind: "pulled"; readonly fold: ConfigurationState; }
    /** A peer holds this revision, and the log confirmed it as the newest at that time of this daemon's clock. */
    | { readonly kind: "confirmed"; readonly revision: number; readonly digest: string; readonly at: Millis; }
    /** The first answers after the start are in, or their time is over. */
    | { readonly kind: "started"; };
