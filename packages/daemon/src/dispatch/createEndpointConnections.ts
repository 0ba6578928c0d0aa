import { maxAnswerHeadBytes } from "@azureshunt/http";
import { Client, Pool } from "undici";
import type { Dispatcher } from "undici";

import type { EndpointConnections } from "./EndpointConnections.js";
import { judgeSilence } from "./judgeSilence.js";

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_IDLE_MS = 4_000;
const MAX_CONNECTIONS = 512;

/**
 * Creates the connection pools of endpoints.
 *
 * A device between this VM and an endpoint, such as a firewall, can lose track of open connections: new connections work,
 * while the old ones deliver nothing more, not even a close. Symptom: calls that end as silent. To prevent further ones,
 * the connection of a silent call is destroyed, and the endpoint's pool is replaced, as its connections were probably
 * lost together. A call that may not be repeated is never sent on an old connection.
 */
export function createEndpointConnections(): EndpointConnections {
    const pools = new Map<string, Dispatcher>();

    const pooled: EndpointConnections["pooled"] = url => {
        const pool = pools.get(url) ?? new Pool(url, {
            connect: { timeout: CONNECT_TIMEOUT_MS },
            keepAliveTimeout: MAX_IDLE_MS,
            connections: MAX_CONNECTIONS,
            pipelining: 1,
            maxHeaderSize: maxAnswerHeadBytes,
        }).compose(judgeSilence);
        pools.set(url, pool);
        return pool;
    };
    const dedicated: EndpointConnections["dedicated"] = url =>
        new Client(url, { connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1, maxHeaderSize: maxAnswerHeadBytes })
            .compose(judgeSilence);

    const retirePool: EndpointConnections["retirePool"] = url => {
        const pool = pools.get(url);
        pools.delete(url);
        void pool?.close();
    };
    const stop: EndpointConnections["stop"] = async () => {
        await Promise.all([...pools.values()].map(pool => pool.destroy()));
    };
    return { pooled, dedicated, retirePool, stop };
}
