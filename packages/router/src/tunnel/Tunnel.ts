import type { Socket } from "node:net";

import type { VmId } from "@azureshunt/core";

/** A connection to an endpoint that a peer opened for this VM. */
export type Tunnel = {
    readonly socket: Socket;
    /** The peer, which forwards what the connection carries. */
    readonly carrier: VmId;
};
