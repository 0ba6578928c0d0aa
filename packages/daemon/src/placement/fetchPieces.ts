import type { PieceHash } from "@azureshunt/core";
import { request } from "undici";
import type { Dispatcher } from "undici";
import { z } from "zod";

const STATUS_OK = 200;
const Imported = z.object({ imported: z.number().int().min(0) });

/** What an engine is to fetch. */
type PieceFetch = {
    /** The engine that fetches, and the one that it fetches from. */
    readonly url: string;
    readonly from: string;
    /** The chain of pieces from its first one. */
    readonly pieces: readonly PieceHash[];
    readonly timeoutMs: number;
};

/**
 * Makes an engine fetch cached pieces from another one. The hashes hold organisation and weights, so no other cache can
 * come; a source that has lost the pieces, as after a crash, gives none and the engine computes them.
 *
 * @returns how many leading pieces the engine holds now; 0 when it did not say so in time
 */
export async function fetchPieces(dispatcher: Dispatcher, fetch: PieceFetch): Promise<number> {
    try {
        const res = await request(`${fetch.url}/v1/kv/import`, {
            method: "POST",
            dispatcher,
            signal: AbortSignal.timeout(fetch.timeoutMs),
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ from: fetch.from, hashes: fetch.pieces }),
        });
        const body = await res.body.json();
        return res.statusCode === STATUS_OK ? Imported.parse(body).imported : 0;
    }
    catch {
        return 0;
    }
}
