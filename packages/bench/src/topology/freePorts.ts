import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/**
 * Finds free ports of the loopback address. All are held open until the last is found, so that they differ.
 *
 * @param count how many
 */
export async function freePorts(count: number): Promise<readonly number[]> {
    const servers = Array.from({ length: count }, () => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
