import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

import type { ExecutionContext } from "ava";

/** Starts an endpoint that answers as another incarnation after a delay, and returns its URL. */
export async function restartedEndpoint(t: ExecutionContext, delayMs: number): Promise<string> {
    const server = createServer((_req, res) =>
        void sleep(delayMs).then(() => res.end(JSON.stringify({ incarnation: "another run" })))
    );
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
}
