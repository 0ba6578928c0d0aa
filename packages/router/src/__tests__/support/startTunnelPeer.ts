import type { TunnelEnd } from "@azureshunt/completion";
import { createClock, FailureDomain, VmId } from "@azureshunt/core";
import { randomUUID } from "node:crypto";
import type { AddressInfo } from "node:net";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import type { OpenConnection } from "../../dispatch/OpenConnection.js";
import type { OpenedConnection } from "../../dispatch/OpenedConnection.js";
import { startPeerListener } from "../../peers/startPeerListener.js";
import { askTunnelEnd } from "../../tunnel/askTunnelEnd.js";
import { createTunnelEnds } from "../../tunnel/createTunnelEnds.js";
import { requestTunnel } from "../../tunnel/requestTunnel.js";
import { sendDrainNotice } from "../../tunnel/sendDrainNotice.js";
import { serveTunnels } from "../../tunnel/serveTunnels.js";
import { TunnelId } from "../../tunnel/TunnelId.js";

type PeerParts = Partial<Parameters<typeof serveTunnels>[1]> & {
    readonly open?: OpenConnection;
    /** Address of the VM that uses the tunnels, for notices of the peer. */
    readonly user?: string;
    /** Port of the peer's listener; any free one if omitted. */
    readonly port?: number;
};

/** Longer than a busy machine takes. */
const LONG_MS = 30_000;
/** An address where nothing listens. */
const NOWHERE = "127.0.0.1:1";

/** Starts a peer that opens tunnels to all addresses, unless the parts say otherwise, and a way through it. */
export async function startTunnelPeer({ user = NOWHERE, port = 0, ...parts }: PeerParts = {}) {
    const agent = new EndpointAgent(() => performance.now());
    const ends = createTunnelEnds(createClock());
    const closed: TunnelEnd[] = [];
    const server = await startPeerListener({
        address: `127.0.0.1:${port}`,
        configuration: () => undefined,
        receiveReport: () => undefined,
        streams: () => Buffer.alloc(0),
        tunnelEnd: ends.endOf,
        closeTunnels: () => undefined,
        topics: new Map(),
    });
    const tunnels = serveTunnels(server, {
        isEndpoint: () => true,
        admit: () => "try",
        onOpened: () => undefined,
        onFailed: () => undefined,
        failureDomain: FailureDomain.parse("a"),
        domainPeers: () => [],
        helpers: () => [],
        canJudge: () => true,
        random: () => 0,
        timing: { peerConnectMs: LONG_MS },
        ends,
        onClosed: end => closed.push(end),
        notifyDrain: (address, ids) => void sendDrainNotice(agent, address, ids),
        ...parts,
    });
    const peer = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const askPeer = (target: string, from = "a", id = TunnelId.parse(randomUUID())) =>
        requestTunnel({
            peer,
            target,
            failureDomain: FailureDomain.parse(from),
            user: { id, address: user },
            signal: new AbortController().signal,
            answerMs: LONG_MS,
        });
    return {
        server,
        tunnels,
        /** Ends of the tunnels of which both connections are closed. */
        closed: closed as readonly TunnelEnd[],
        port: Number(peer.split(":")[1]),
        askPeer,
        openTunnel: async (target: string) => (await askPeer(target)).tunnel,
        openConnection: async (address: string): Promise<OpenedConnection> => {
            const id = TunnelId.parse(randomUUID());
            const confirmEnd = (): Promise<boolean> => askTunnelEnd(agent, peer, id);
            const opened = (await askPeer(address, "a", id)).tunnel;
            return opened.caseOf<OpenedConnection | Promise<never>>({
                Left: failure => Promise.reject(new Error(failure)),
                Right: socket => ({ id, socket, kind: "tunnel", carrier: VmId.parse("peer"), confirmEnd }),
            });
        },
        stop: () => {
            tunnels.closeAll();
            agent.destroy();
            server.close();
            server.closeAllConnections();
        },
    };
}
