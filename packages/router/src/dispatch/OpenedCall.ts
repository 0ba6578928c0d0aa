import type { IncomingMessage } from "node:http";

/** A call whose answer has begun, or that failed before. */
export type OpenedCall =
    | {
        readonly kind: "head";
        readonly res: IncomingMessage;
        /** Whether an error was seen on the connection; an answer that ends after one is not whole. */
        readonly isBroken: () => boolean;
        /** Whether the connection ended by a reset, though it looked like a plain end. */
        readonly wasReset: () => boolean;
    }
    | { readonly kind: "unreached" | "broken" | "silent" | "cancelled"; };
