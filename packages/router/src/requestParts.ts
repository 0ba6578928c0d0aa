import type { Agent } from "node:http";

import type { createByteBudget } from "./flow/createByteBudget.js";
import type { createUnreadBodies } from "./flow/createUnreadBodies.js";
import type { HeapPart } from "./flow/HeapPart.js";
import type { HeldAccount } from "./flow/HeldAccount.js";
import type { EndpointTable } from "./placement/EndpointTable.js";
import type { createRequestQueues } from "./serve/createRequestQueues.js";
import type { startCallerServer } from "./serve/startCallerServer.js";
import type { serveTunnels } from "./tunnel/serveTunnels.js";

/** What serves requests. */
type RequestSources = {
    readonly agents: readonly Pick<Agent, "sockets" | "freeSockets" | "requests">[];
    readonly byteBudget: Pick<ReturnType<typeof createByteBudget>, "openAccounts" | "waitingBodies">;
    readonly callerServer: Pick<Awaited<ReturnType<typeof startCallerServer>>, "connections" | "unanswered">;
    readonly endpointTable: Pick<EndpointTable, "ownShares">;
    readonly requestQueues: Pick<ReturnType<typeof createRequestQueues>, "size">;
    readonly tunnels: Pick<ReturnType<typeof serveTunnels>, "size" | "heldBytes">;
    readonly unreadBodies: Pick<ReturnType<typeof createUnreadBodies>, "heldBytes">;
};

const sumOf = (numbers: readonly number[]): number => numbers.reduce((sum, each) => sum + each, 0);
const lengthOf = (lists: NodeJS.ReadOnlyDict<readonly unknown[]>): number =>
    sumOf(Object.values(lists).map(list => list?.length ?? 0));

/** Returns the parts of the heap that grow with the requests and connections of a router, by name. */
export function requestParts(sources: RequestSources): Readonly<Record<string, () => number | HeapPart>> {
    const { agents, byteBudget, callerServer, endpointTable, requestQueues, tunnels, unreadBodies } = sources;
    const accounts = (): readonly HeldAccount[] => [...byteBudget.openAccounts()];
    const countOf = (isCounted: (account: HeldAccount) => boolean) => (): number => accounts().filter(isCounted).length;
    const bytesOf = (read: (account: HeldAccount) => number) => (): HeapPart => {
        const held = accounts().map(read).filter(bytes => bytes > 0);
        return { count: held.length, bytes: sumOf(held) };
    };
    return {
        "requests": callerServer.unanswered,
        "requests-being-read": countOf(({ res }) => !res.req.complete),
        "requests-waiting-for-body-room": byteBudget.waitingBodies,
        "requests-waiting-for-endpoints": requestQueues.size,
        "requests-at-endpoints": () => sumOf(endpointTable.ownShares().map(([, { running }]) => running)),
        "requests-answering": countOf(({ res, source }) => res.headersSent || source !== undefined),
        "request-notes": () => sumOf(accounts().map(({ notes }) => notes?.() ?? 0)),
        "request-heads": bytesOf(({ headBytes }) => headBytes),
        "request-bodies": bytesOf(({ bodyBytes }) => bodyBytes),
        "answers": bytesOf(({ bytes, bodyBytes }) => bytes - bodyBytes),
        "unread-bodies-at-endpoints": () => ({ count: 0, bytes: unreadBodies.heldBytes() }),
        "caller-connections": callerServer.connections,
        "endpoint-connections": () => sumOf(agents.map(({ sockets }) => lengthOf(sockets))),
        "idle-endpoint-connections": () => sumOf(agents.map(({ freeSockets }) => lengthOf(freeSockets))),
        "calls-without-connection": () => sumOf(agents.map(({ requests }) => lengthOf(requests))),
        "tunnels": () => ({ count: tunnels.size(), bytes: tunnels.heldBytes() }),
    };
}
