import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import { FailureDomain, VmId } from "@azureshunt/core";

import type { OpenConnection } from "../../dispatch/OpenConnection.js";
import type { OpenedConnection } from "../../dispatch/OpenedConnection.js";
import { requestTunnel } from "../../tunnel/requestTunnel.js";
import { serveTunnels } from "../../tunnel/serveTunnels.js";

type PeerParts = Partial<Parameters<typeof serveTunnels>[1]> & { readonly open?: OpenConnection; };

/** Longer than a busy machine takes. */
const LONG_MS = 30_000;

/** Starts a peer that opens tunnels to all addresses, unless the parts say otherwise, and a way through it. */
export async function startTunnelPeer(parts: PeerParts = {}) {
    const server = createServer();
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
        ...parts,
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const peer = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const askPeer = (target: string, from = "a") =>
        requestTunnel({
            peer,
            target,
            failureDomain: FailureDomain.parse(from),
            signal: new AbortController().signal,
            answerMs: LONG_MS,
        });
    const openTunnel = async (target: string) => (await askPeer(target)).tunnel;
    return {
        tunnels,
        askPeer,
        openTunnel,
        openConnection: async (address: string): Promise<OpenedConnection> => {
            const opened = await openTunnel(address);
            return opened.caseOf<OpenedConnection | Promise<never>>({
                Left: failure => Promise.reject(new Error(failure)),
                Right: socket => ({ socket, kind: "tunnel", carrier: VmId.parse("peer") }),
            });
        },
        stop: () => {
            tunnels.closeAll();
            server.close();
        },
    };
}
