import { connect } from "node:net";
import type { Socket } from "node:net";

import type { TunnelEnd } from "@azureshunt/completion";
import test from "ava";

import { startRawEndpoint } from "../support/startRawEndpoint.js";
import { startTunnelPeer } from "../support/startTunnelPeer.js";
import { startTunnelUser } from "../support/startTunnelUser.js";
import { until } from "../support/until.js";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
/** More than the buffers of two connections and of a VM hold. */
const LARGE = "x".repeat(32 * 1024 * 1024);

type User = Awaited<ReturnType<typeof startTunnelUser>>;
/** A VM, the peer that forwards its call, and the endpoint in the middle of its answer. */
type Stage = {
    readonly user: User;
    /** The endpoint's connection. */
    readonly endpoint: Socket;
    /** The peer's connections: to the VM and to the endpoint. */
    readonly peerSockets: readonly Socket[];
    /** Calls a function after the case. */
    readonly afterwards: (run: () => void) => void;
};

type Case = {
    readonly name: string;
    readonly parts?: Parameters<typeof startTunnelUser>[0];
    /** Begins the answer; it has no length. */
    readonly begin?: (endpoint: Socket) => void;
    /** Ends it, in whatever way. */
    readonly end: (stage: Stage) => void | Promise<void>;
    readonly vmSees: "closed" | "reset";
    readonly isConfirmed: boolean;
    /** The answer, if the VM may take it for whole. */
    readonly answer?: string;
    /** How the endpoint's connection ends from the other side, unless the endpoint has closed it. */
    readonly endpointSees?: "closed" | "reset";
    /** What the peer counts; nothing if its process is gone. */
    readonly counted?: TunnelEnd;
};

/** What an operating system does when a process is killed: it closes connections without a reset. */
const kill = ({ user, peerSockets }: Stage): void => {
    peerSockets.forEach(socket => {
        socket.removeAllListeners();
        socket.on("error", () => undefined);
        socket.destroy();
    });
    user.peer.stop();
};

const cases: readonly Case[] = [
    {
        name: "the endpoint closes",
        end: ({ endpoint }) => void endpoint.end(" rest"),
        vmSees: "closed",
        isConfirmed: true,
        answer: "half rest",
        counted: "endpoint-closed",
    },
    {
        name: "the endpoint closes after more bytes than the peer can buffer",
        end: ({ endpoint }) => void endpoint.end(LARGE),
        vmSees: "closed",
        isConfirmed: true,
        answer: `half${LARGE}`,
        counted: "endpoint-closed",
    },
    {
        name: "the endpoint resets",
        end: ({ endpoint }) => void endpoint.resetAndDestroy(),
        vmSees: "reset",
        isConfirmed: false,
        counted: "reset",
    },
    {
        name: "the peer begins to stop, and the endpoint goes on after a pause",
        end: async ({ user, endpoint }) => {
            void user.peer.tunnels.drain(60_000);
            await new Promise(resolve => setTimeout(resolve, 1_300));
            endpoint.end(" rest");
        },
        vmSees: "closed",
        isConfirmed: true,
        answer: "half rest",
        counted: "endpoint-closed",
    },
    {
        name: "the peer's time to stop is over",
        end: async ({ user }) => {
            await user.peer.tunnels.drain(100);
            user.peer.tunnels.closeAll();
        },
        vmSees: "reset",
        isConfirmed: false,
        endpointSees: "reset",
        counted: "stopped",
    },
    {
        name: "it carries nothing for too long",
        parts: { timing: { idleMs: 200 } },
        end: () => undefined,
        vmSees: "reset",
        isConfirmed: false,
        endpointSees: "reset",
        counted: "idle",
    },
    {
        name: "the peer's process is killed",
        end: kill,
        vmSees: "closed",
        isConfirmed: false,
        endpointSees: "closed",
    },
    {
        name: "the peer's process is killed and starts again",
        end: async stage => {
            const { port } = stage.user.peer;
            kill(stage);
            stage.afterwards((await startTunnelPeer({ port })).stop);
        },
        vmSees: "closed",
        isConfirmed: false,
        endpointSees: "closed",
    },
    {
        name: "the endpoint closes, and the peer, of a build that records nothing, does not know how",
        parts: { ends: { record: () => undefined, isAwaitingQuestion: () => false } },
        end: ({ endpoint }) => void endpoint.end(" rest"),
        vmSees: "closed",
        isConfirmed: false,
        counted: "endpoint-closed",
    },
    {
        name: "the endpoint closes, and the peer answers no question",
        end: ({ user, endpoint }) => {
            user.peer.server.removeAllListeners("request");
            endpoint.end(" rest");
        },
        vmSees: "closed",
        isConfirmed: false,
        counted: "endpoint-closed",
    },
    {
        name: "the endpoint closes as the peer's time to stop is over",
        end: ({ user, endpoint }) => {
            endpoint.end(" rest");
            user.peer.tunnels.closeAll();
        },
        vmSees: "reset",
        isConfirmed: false,
        counted: "stopped",
    },
    {
        name: "the peer's time to stop is over while it holds bytes",
        begin: endpoint => void endpoint.end(`${HEAD}half${LARGE}`),
        end: ({ user }) => user.peer.tunnels.closeAll(),
        vmSees: "reset",
        isConfirmed: false,
        counted: "stopped",
    },
    {
        name: "the VM abandons its call",
        end: ({ user }) => user.abandon(),
        vmSees: "reset",
        isConfirmed: false,
        endpointSees: "reset",
        counted: "reset",
    },
    {
        name: "the endpoint closes as the VM abandons its call",
        end: ({ user, endpoint }) => {
            endpoint.end(" rest");
            user.abandon();
        },
        vmSees: "reset",
        isConfirmed: false,
    },
];

// Guards against an answer that ends with its connection being taken for whole because a carrier of it has ended.
cases.forEach(({ name, parts, begin, end, vmSees, isConfirmed, answer, endpointSees, counted }) => {
    test(`tunnel: in mid-answer ${name}: the VM sees it ${vmSees}, ${isConfirmed ? "" : "not "}confirmed`, async t => {
        const begun = begin ?? (socket => void socket.write(`${HEAD}half`));
        const endpoint = await startRawEndpoint(begun);
        const peerSockets: Socket[] = [];
        const user = await startTunnelUser({
            open: options => {
                const socket = connect(options);
                peerSockets.push(socket);
                return socket;
            },
            ...parts,
        });
        user.peer.server.on("connect", (_req, socket) => peerSockets.push(socket as Socket));
        const opened = await user.call(endpoint.address);
        if (opened.kind !== "head") {
            t.fail(opened.kind);
            return;
        }
        const received: Buffer[] = [];
        const closed = new Promise(resolve => opened.res.once("close", resolve));
        opened.res.on("error", () => undefined);
        const [socket] = endpoint.sockets;
        if (socket === undefined) {
            t.fail("no connection");
            return;
        }
        const stage = { user, endpoint: socket, peerSockets, afterwards: t.teardown };
        if (begin === undefined) {
            opened.res.on("data", data => received.push(data as Buffer));
            await until(() => received.length > 0);
            await end(stage);
        }
        else {
            // Nothing is read until the end, so bytes are held up at the peer.
            await until(() => user.peer.tunnels.heldBytes() > 0);
            await end(stage);
            opened.res.on("data", data => received.push(data as Buffer));
        }
        await closed;
        const seen = opened.connectionEnd();
        t.is(seen === "closed" ? "closed" : "reset", vmSees);
        t.is(await opened.confirmCarrier?.(), isConfirmed);
        if (answer !== undefined) {
            t.true(Buffer.concat(received).toString() === answer);
        }
        if (endpointSees !== undefined) {
            await until(() => endpoint.ends.length > 0);
            t.is(endpoint.ends[0], endpointSees);
        }
        if (counted !== undefined) {
            await until(() => user.peer.closed.length > 0);
            t.deepEqual(user.peer.closed, [counted]);
        }
        user.stop();
        endpoint.stop();
    });
});

const LENGTH = 1_000;
const bodies: readonly {
    readonly name: string;
    readonly end: (near: Socket, peer: Awaited<ReturnType<typeof startTunnelPeer>>) => void;
    readonly timing?: Parameters<typeof startTunnelPeer>[0];
    readonly endpointSees: "closed" | "reset";
}[] = [
    { name: "the VM resets its connection", end: near => void near.resetAndDestroy(), endpointSees: "reset" },
    // As on an own link: the body's length tells that it is not whole.
    { name: "the VM's process is killed", end: near => void near.destroy(), endpointSees: "closed" },
    { name: "the peer's time to stop is over", end: (_near, peer) => peer.tunnels.closeAll(), endpointSees: "reset" },
    {
        name: "it carries nothing for too long",
        end: () => undefined,
        timing: { timing: { idleMs: 200 } },
        endpointSees: "reset",
    },
];

// Guards against the part of a request's body that has arrived being taken for the whole.
bodies.forEach(({ name, end, timing, endpointSees }) => {
    test(`tunnel: in mid-body ${name}: the endpoint sees it ${endpointSees}`, async t => {
        const state = { text: "" };
        const endpoint = await startRawEndpoint((_socket, text) => {
            state.text = text;
        });
        const peer = await startTunnelPeer(timing);
        const near = (await peer.openTunnel(endpoint.address)).unsafeCoerce();
        near.on("error", () => undefined);
        near.write(`POST / HTTP/1.1\r\nContent-Length: ${LENGTH}\r\n\r\nhalf`);
        await until(() => state.text.includes("half"));
        end(near, peer);
        await until(() => endpoint.ends.length > 0);
        t.deepEqual(endpoint.ends, [endpointSees]);
        peer.stop();
        endpoint.stop();
    });
});
