import type { Socket } from "node:net";

import type { Tunnel } from "../tunnel/Tunnel.js";

/** An open connection to an endpoint: `new` over an own link, `tunnel` through a peer. */
export type OpenedConnection =
    | { readonly kind: "new"; readonly socket: Socket; }
    | { readonly kind: "tunnel"; } & Tunnel;
