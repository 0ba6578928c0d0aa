import { request } from "node:http";

import type { FailureDomain, Millis } from "@azureshunt/core";
import { maxAnswerHeadBytes } from "@azureshunt/http";
import { startTimeout } from "@azureshunt/lifecycle";
import type { TunnelFailure } from "@azureshunt/reach";
import { Left, Right } from "purify-ts";

import { decodeNamedPeers } from "./decodeNamedPeers.js";
import type { TunnelAnswer } from "./TunnelAnswer.js";
import { tunnelHeaders } from "./tunnelHeaders.js";
import { tunnelStatus } from "./tunnelStatus.js";
import { tunnelTiming } from "./tunnelTiming.js";
import type { TunnelUser } from "./TunnelUser.js";

type TunnelRequest = {
    /** `host:port` of the peer's listener for peers. */
    readonly peer: string;
    /** `host:port` of the endpoint. */
    readonly target: string;
    /** Failure domain of this VM. */
    readonly failureDomain: FailureDomain;
    /** Who uses the tunnel: its id, and the address of this VM. */
    readonly user: TunnelUser;
    /** Ends the request; a tunnel that was opened is kept. */
    readonly signal: AbortSignal;
    /** Time limit for the peer's answer. */
    readonly answerMs?: Millis;
};

type Names = Pick<TunnelAnswer, "named" | "helpers">;

const FAILURES: ReadonlyMap<number | undefined, TunnelFailure> = new Map([
    [tunnelStatus.refused, "endpoint-refused"],
    [tunnelStatus.silent, "endpoint-silent"],
]);

/** Asks a peer for a connection to an endpoint by HTTP `CONNECT` (RFC 9110). */
export function requestTunnel(
    { peer, target, failureDomain, user, signal, answerMs = tunnelTiming.answerMs }: TunnelRequest,
): Promise<TunnelAnswer> {
    const [host, port] = peer.split(":");
    return new Promise(resolve => {
        const req = request({
            host,
            port: Number(port),
            method: "CONNECT",
            path: target,
            headers: {
                host: target,
                [tunnelHeaders.failureDomain]: failureDomain,
                [tunnelHeaders.id]: user.id,
                [tunnelHeaders.address]: user.address,
            },
            agent: false,
            maxHeaderSize: maxAnswerHeadBytes,
            insecureHTTPParser: false,
        });
        const fail = (failure: TunnelFailure, names: Names = { named: [], helpers: [] }): void => {
            cancelTimeout();
            signal.removeEventListener("abort", onAbort);
            req.destroy();
            resolve({ tunnel: Left(failure), ...names });
        };
        const onAbort = (): void => fail("peer");
        const cancelTimeout = startTimeout(answerMs, () => fail("peer"));
        signal.addEventListener("abort", onAbort, { once: true });
        req.once("connect", (res, socket) => {
            const names = {
                named: decodeNamedPeers(res.headers[tunnelHeaders.peers]),
                helpers: decodeNamedPeers(res.headers[tunnelHeaders.helpers]),
            };
            if (res.statusCode !== tunnelStatus.opened) {
                socket.destroy();
                fail(FAILURES.get(res.statusCode) ?? "peer", names);
                return;
            }
            cancelTimeout();
            signal.removeEventListener("abort", onAbort);
            socket.setNoDelay(true);
            resolve({ tunnel: Right(socket), ...names });
        });
        req.on("error", () => fail("peer"));
        req.end();
    });
}
