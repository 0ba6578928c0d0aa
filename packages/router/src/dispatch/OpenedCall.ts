import type { IncomingMessage } from "node:http";

import type { ConnectionKind } from "./ConnectionKind.js";

/** A call whose answer has started, or that failed before. */
export type OpenedCall =
    | {
        readonly kind: "head";
        readonly res: IncomingMessage;
        /** Whether the connection had an error. An answer that ends after an error is incomplete. */
        readonly isBroken: () => boolean;
        /** Whether the connection was reset, although Node reported a normal end. */
        readonly wasReset: () => boolean;
        readonly connection: ConnectionKind;
    }
    | { readonly kind: "unreached" | "broken" | "silent" | "cancelled"; readonly connection: ConnectionKind; };
