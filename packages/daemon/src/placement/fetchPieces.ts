import type { PieceHash } from "@azureshunt/core";
import { timeoutSignal } from "@azureshunt/lifecycle";
import { request } from "undici";
import type { Dispatcher } from "undici";
import { z } from "zod";

const STATUS_OK = 200;
const Imported = z.object({ imported: z.number().int().min(0) });

/** A fetch of cached pieces by an engine. */
type PieceFetch = {
    /** URLs of the engine that fetches and of the one that it fetches from. */
    readonly url: string;
    readonly from: string;
    /** The leading pieces of a prompt. */
    readonly pieces: readonly PieceHash[];
    readonly timeoutMs: number;
};

/**
 * Makes an engine fetch cached pieces from another one. The hashes cover organisation and weights, so the cache of
 * another organisation or version is never fetched. A source that has lost the pieces, for example in a crash, returns
 * none, and the engine computes them.
 *
 * @returns how many leading pieces the engine holds now; 0 if it failed or did not answer in time
 */
export async function fetchPieces(dispatcher: Dispatcher, fetch: PieceFetch): Promise<number> {
    try {
        const res = await request(`${fetch.url}/v1/kv/import`, {
            method: "POST",
            dispatcher,
            signal: timeoutSignal(fetch.timeoutMs),
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
