import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** Returns the URL of an endpoint whose process is gone: nothing listens there. */
export async function deadEndpoint(): Promise<string> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return `http://127.0.0.1:${port}`;
}
