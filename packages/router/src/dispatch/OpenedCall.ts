import type { IncomingMessage } from "node:http";

import type { ConnectionEnd, Framing } from "@azureshunt/completion";
import type { VmId } from "@azureshunt/core";

import type { ConnectionKind } from "./ConnectionKind.js";

/** A call whose answer has started, or that failed before. */
export type OpenedCall =
    | {
        readonly kind: "head";
        readonly res: IncomingMessage;
        readonly framing: Framing;
        readonly connectionEnd: () => ConnectionEnd;
        /** Whether all bytes of the request were written before the other side ended the connection. */
        readonly isRequestSent: () => boolean;
        readonly connection: ConnectionKind;
        /** VM that forwards the connection; `undefined` on an own link. */
        readonly carrier: VmId | undefined;
        /** Asks that VM whether the endpoint has closed the connection; `undefined` on an own link. */
        readonly confirmCarrier: (() => Promise<boolean>) | undefined;
    }
    | { readonly kind: "unreached" | "broken" | "silent" | "cancelled"; readonly connection: ConnectionKind; };
