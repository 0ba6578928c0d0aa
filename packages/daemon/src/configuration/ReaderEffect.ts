import type { Configuration, ConfigurationState } from "@azureshunt/release";

/** Side effects that `stepReader` requests. */
export type ReaderEffect =
    /** Read the log; the result is the event `page`, `expired` or `failed`. Only one read runs at a time. */
    | { readonly kind: "read"; readonly from: number; readonly waitMs: number; readonly failures: number; }
    /** More records were folded: calls that wait for the verdict on a record check for it. */
    | { readonly kind: "advanced"; readonly fold: ConfigurationState; }
    /** A newer configuration is in force on this daemon. */
    | { readonly kind: "publish"; readonly configuration: Configuration; };
