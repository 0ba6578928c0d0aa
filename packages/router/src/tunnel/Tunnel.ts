import type { Socket } from "node:net";

import type { VmId } from "@azureshunt/core";

import type { TunnelId } from "./TunnelId.js";

/** A connection to an endpoint that a peer opened for this VM. */
export type Tunnel = {
    readonly id: TunnelId;
    readonly socket: Socket;
    /** The peer, which forwards what the connection carries. */
    readonly carrier: VmId;
    /**
     * Asks the carrier, once, whether the endpoint has closed the connection and all its bytes were passed on. False also
     * if the carrier does not answer in time or does not know.
     */
    readonly confirmEnd: () => Promise<boolean>;
};
