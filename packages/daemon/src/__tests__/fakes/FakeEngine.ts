import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

import type { PieceHash } from "@azureshunt/core";

/** A change of the cache that a fake engine publishes. */
type Published = {
    readonly seq: number;
    readonly kind: "stored" | "removed" | "cleared";
    readonly hashes: PieceHash[];
};

/** What a fake engine answers. Tests change it between requests. */
type EngineView = {
    incarnation: string;
    ready: boolean;
    holds: readonly { readonly model: string; readonly version: string; }[];
    load: { readonly running: number; readonly waiting: number; readonly waitingTokens: number; };
    cache: { readonly seq: number; readonly hashes: readonly PieceHash[]; };
    /** Whether it answers at all. */
    answers: boolean;
};

/** An engine that answers queries about its state and runs no requests. */
type FakeEngine = {
    readonly url: string;
    readonly view: EngineView;
    readonly publish: (event: Published) => void;
    /** The number of open streams of cache events. */
    readonly followers: () => number;
    readonly stop: () => Promise<void>;
};

/** Starts a fake engine on a free port. */
export async function startFakeEngine(incarnation: string): Promise<FakeEngine> {
    const view: EngineView = {
        incarnation,
        ready: true,
        holds: [{ model: "advisor", version: "v1" }],
        load: { running: 0, waiting: 0, waitingTokens: 0 },
        cache: { seq: 0, hashes: [] },
        answers: true,
    };
    const followers = new Set<ServerResponse>();
    const published: string[] = [];
    const answers: Readonly<Record<string, () => object>> = {
        "/v1/state": () => ({ incarnation: view.incarnation, ready: view.ready, holds: view.holds }),
        "/v1/load": () => ({ incarnation: view.incarnation, at: Date.now(), ...view.load }),
        "/v1/cache": () => ({ incarnation: view.incarnation, ...view.cache }),
        "/health": () => ({}),
    };
    const server = createServer((req, res) => {
        const path = (req.url ?? "").split("?")[0] ?? "";
        if (!view.answers) {
            req.socket.destroy();
        }
        else if (path === "/v1/cache-events") {
            res.writeHead(200, { "content-type": "text/event-stream" }).flushHeaders();
            published.forEach(data => res.write(data));
            followers.add(res);
            res.on("close", () => followers.delete(res));
        }
        else {
            res.end(JSON.stringify(answers[path]?.() ?? {}));
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const publish: FakeEngine["publish"] = event => {
        const data = `data: ${JSON.stringify({ incarnation: view.incarnation, ...event })}\n\n`;
        published.push(data);
        followers.forEach(res => res.write(data));
    };
    const stop = async (): Promise<void> => {
        server.closeAllConnections();
        await new Promise(resolve => server.close(resolve));
    };
    return { url: `http://127.0.0.1:${port}`, view, publish, followers: () => followers.size, stop };
}
