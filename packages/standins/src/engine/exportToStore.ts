import { request as fetch } from "undici";

import { kvBytes } from "../common/kvBytes.js";

/**
 * Copies pieces to the KV cache store, one after the other. A piece that the store does not take is left out, as caches
 * may lose anything.
 *
 * @returns the function that puts pieces in line
 */
export function exportToStore(storeUrl: string, bytes: number): (hashes: readonly string[]) => void {
    let line: Promise<void> = Promise.resolve();
    const put = async (hash: string): Promise<void> => {
        const answer = await fetch(`${storeUrl}/v1/kv/${hash}`, { method: "PUT", body: kvBytes(hash, bytes) });
        await answer.body.dump();
    };
    return hashes =>
        hashes.forEach(hash => {
            line = line.then(() => put(hash)).catch(() => undefined);
        });
}
