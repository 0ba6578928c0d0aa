import type { AddressInfo } from "node:net";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { openCall } from "../../dispatch/openCall.js";
import { startPeerListener } from "../../peers/startPeerListener.js";
import { startTunnelPeer } from "./startTunnelPeer.js";

type UserParts = Parameters<typeof startTunnelPeer>[0] & {
    /** Whether the VM knows the notices of peers that stop. */
    readonly knowsNotices?: boolean;
};

/** Starts a VM that calls endpoints through a peer, and that peer. */
export async function startTunnelUser({ knowsNotices = true, ...parts }: UserParts = {}) {
    const state = { notices: 0 };
    const listener = await startPeerListener({
        address: "127.0.0.1:0",
        configuration: () => undefined,
        receiveReport: () => undefined,
        streams: () => Buffer.alloc(0),
        tunnelEnd: () => undefined,
        closeTunnels: ids => {
            state.notices += 1;
            if (knowsNotices) {
                agent.closeTunnels(ids);
            }
        },
        topics: new Map(),
    });
    const user = `127.0.0.1:${(listener.address() as AddressInfo).port}`;
    const peer = await startTunnelPeer({ ...parts, user });
    const agent = new EndpointAgent(() => performance.now(), { openConnection: peer.openConnection });
    const controller = new AbortController();
    return {
        peer,
        notices: () => state.notices,
        /** Sends a request to an endpoint and waits for the head of its answer. */
        call: (address: string, body = "") =>
            openCall(
                agent,
                {
                    address,
                    method: "POST",
                    target: "/",
                    headers: ["Host", "x", "Content-Length", String(body.length), "Connection", "keep-alive"],
                    body: Buffer.from(body),
                    maxIdleMs: 60_000,
                    headMs: 30_000,
                },
                controller.signal,
            ),
        abandon: () => controller.abort(),
        stop: () => {
            agent.destroy();
            peer.stop();
            listener.close();
            listener.closeAllConnections();
        },
    };
}
