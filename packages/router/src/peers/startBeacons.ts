import { startTimeout } from "@azureshunt/lifecycle";
import { createSocket } from "node:dgram";

import { createBeaconExchange } from "./createBeaconExchange.js";

type ExchangeParts = Parameters<typeof createBeaconExchange>[0];

type BeaconParts = Omit<ExchangeParts, "schedule" | "send" | "onUnreadable"> & {
    /** `host:port` from which beacons are sent, and to which they are sent. */
    readonly address: string;
    /** Called with the size of each datagram that is sent. */
    readonly onSent: (bytes: number) => void;
    readonly onFault: (what: "unreadable" | "socket", err: Error | undefined) => void;
    /** Applies a datagram that is no beacon; returns `false` if it is of no known kind. */
    readonly receiveOther: (datagram: Buffer) => boolean;
    /** Binds an address once it is free. */
    readonly claim: (address: string, bind: () => Promise<void>) => Promise<void>;
};

/** Delay before the socket is closed, as closing it at once would drop the final datagrams. */
const CLOSE_AFTER_MS = 20;
const IP_VERSION = 4;

/**
 * Starts to send beacons to other VMs, and to receive theirs. Datagrams need no connection that could hang, and the
 * next beacon makes up for a lost one.
 *
 * @returns `sendSoon` requests an urgent send, `send` sends a datagram of another kind, and `stop` stops after a final
 * beacon. No beacon follows that one, as peers would take this VM for a running one again, and nothing fails that is called
 * afterwards.
 */
export function startBeacons(parts: BeaconParts): {
    readonly sendSoon: () => void;
    readonly send: (datagram: Buffer, address: string) => void;
    readonly stop: () => void;
    /** Resolves once beacons are received; rejects if the address cannot be bound. */
    readonly listening: Promise<void>;
} {
    // All addresses are numbers. Without this, each datagram costs a call of the resolver and a turn of the event loop.
    const socket = createSocket({
        type: "udp4",
        lookup: (address, _, callback) => callback(null, address, IP_VERSION),
    });
    const [host, port] = parts.address.split(":");
    const state = {
        exchange: undefined as ReturnType<typeof createBeaconExchange> | undefined,
        isStopped: false,
        isClosed: false,
    };

    /**
     * What is sent belongs to many parts of a VM, and goes to addresses that peers name. Node throws on a closed socket and on
     * an address that is none, in a timer or in whatever has just happened; but nobody relies on a single datagram.
     */
    const send = (datagram: Buffer, address: string): void => {
        if (state.isClosed) {
            return;
        }
        const [to, toPort] = address.split(":");
        try {
            socket.send(datagram, Number(toPort), to, err => {
                if (err !== null) {
                    parts.onFault("socket", err);
                }
            });
            parts.onSent(datagram.length);
        }
        catch (err) {
            parts.onFault("socket", err as Error);
        }
    };
    socket.on("error", err => parts.onFault("socket", err));
    socket.on("message", (datagram, from) => {
        if (!parts.receiveOther(datagram)) {
            state.exchange?.receive(datagram, `${from.address}:${from.port}`);
        }
    });
    const begin = (): void => {
        if (state.isStopped) {
            return;
        }
        state.exchange = createBeaconExchange({
            ...parts,
            send,
            schedule: startTimeout,
            onUnreadable: () => parts.onFault("unreadable", undefined),
        });
    };
    // With this lookup, the socket may be bound within the call; the first round begins after the caller has the result.
    socket.once("listening", () => setImmediate(begin));
    const bind = (): Promise<void> =>
        new Promise((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(Number(port), host, () => {
                socket.removeListener("error", reject);
                resolve();
            });
        });
    return {
        listening: parts.claim(parts.address, bind),
        sendSoon: () => state.exchange?.sendSoon(),
        send,
        stop: () => {
            if (state.isStopped) {
                return;
            }
            state.isStopped = true;
            state.exchange?.stop();
            state.exchange = undefined;
            setTimeout(() => {
                state.isClosed = true;
                socket.close();
            }, CLOSE_AFTER_MS);
        },
    };
}
