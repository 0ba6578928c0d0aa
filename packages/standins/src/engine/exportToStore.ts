import { request as fetch } from "undici";

import { kvBytes } from "../common/kvBytes.js";

/**
 * Copies pieces to the KV cache store one at a time. A piece that cannot be stored is skipped, since caches may
 * lose anything.
 *
 * @returns the function that queues pieces
 */
export function exportToStore(storeUrl: string, bytes: number): (hashes: readonly string[]) => void {
    let queue: Promise<void> = Promise.resolve();
    const put = async (hash: string): Promise<void> => {
        const answer = await fetch(`${storeUrl}/v1/kv/${hash}`, { method: "PUT", body: kvBytes(hash, bytes) });
        await answer.body.dump();
    };
    return hashes =>
        hashes.forEach(hash => {
            queue = queue.then(() => put(hash)).catch(() => undefined);
        });
}
