import type { StreamOrigin } from "./StreamOrigin.js";

/** Decision on a stream that is to go on after a break. */
export type Continuation =
    | { readonly kind: "continue"; readonly origin: StreamOrigin; }
    /** Nothing tells where it began, so joining any endpoint's events to it could mix two versions. */
    | { readonly kind: "origin-unknown"; }
    /** No endpoint that could continue it is registered, or its version was taken back. */
    | { readonly kind: "version-gone"; };
