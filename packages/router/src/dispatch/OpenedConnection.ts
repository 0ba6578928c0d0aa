import type { Socket } from "node:net";

/** An open connection to an endpoint: `new` over an own link, `tunnel` through a peer. */
export type OpenedConnection = { readonly socket: Socket; readonly kind: "new" | "tunnel"; };
