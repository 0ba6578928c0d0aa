import type { Configuration, ConfigurationState } from "@azureshunt/release";

/** What the reader asks for. */
export type ReaderEffect =
    /** Read the log; the answer comes back as `page`, `expired` or `failed`. One read runs at a time. */
    | { readonly kind: "read"; readonly from: number; readonly waitMs: number; readonly failures: number; }
    /** More records are folded: whoever waits for one may look. */
    | { readonly kind: "advanced"; readonly fold: ConfigurationState; }
    /** A newer configuration is in force here. */
    | { readonly kind: "publish"; readonly configuration: Configuration; };
