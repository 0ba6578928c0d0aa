import { Client, Pool } from "undici";

import type { EndpointConnections } from "./EndpointConnections.js";

const CONNECT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000;
const CONNECTIONS = 512;

/**
 * Makes the connections to endpoints.
 *
 * Failure: something between this VM and an endpoint loses track of open connections. New ones work, and on the old ones
 * nothing comes any more, not even an end. It shows as silence. Guard: a call that meets silence has its connection
 * destroyed, and all connections to that endpoint are replaced, as they have likely been lost together; a call that may
 * not be repeated never goes out on an old connection.
 */
export function createEndpointConnections(): EndpointConnections {
    const pools = new Map<string, Pool>();

    const pooled: EndpointConnections["pooled"] = url => {
        const pool = pools.get(url) ?? new Pool(url, {
            connect: { timeout: CONNECT_MS },
            keepAliveTimeout: KEEP_ALIVE_MS,
            connections: CONNECTIONS,
            pipelining: 1,
        });
        pools.set(url, pool);
        return pool;
    };
    const fresh: EndpointConnections["fresh"] = url =>
        new Client(url, { connect: { timeout: CONNECT_MS }, pipelining: 1 });

    const distrust: EndpointConnections["distrust"] = url => {
        const pool = pools.get(url);
        pools.delete(url);
        void pool?.close();
    };
    const stop: EndpointConnections["stop"] = async () => {
        await Promise.all([...pools.values()].map(pool => pool.destroy()));
    };
    return { pooled, fresh, distrust, stop };
}
