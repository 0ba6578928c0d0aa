import { request as fetch } from "undici";
import { z } from "zod";

import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { kvBytes } from "../common/kvBytes.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import { sleep } from "../common/sleep.js";
import type { Engine } from "./Engine.js";

const ImportBody = z.object({
    from: z.string().url(),
    /** A chain of pieces, beginning with its first piece. */
    hashes: z.array(z.string().min(1)).min(1),
});

const fetchPiece = async (from: string, hash: string): Promise<boolean> => {
    const answer = await fetch(`${from}/v1/kv/${hash}`);
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    return answer.statusCode === 200 && bytes.subarray(0, hash.length).toString() === hash;
};

/** Creates the routes that export and import pieces of KV cache. */
export function kvRoutes({ cache, clock, flags }: Engine): readonly Route[] {
    const importFrom = async (from: string, hashes: readonly string[], imported: number): Promise<number> => {
        const hash = hashes[imported];
        if (hash === undefined) {
            return imported;
        }
        const isAvailable = cache.current().has(hash) || await fetchPiece(from, hash).catch(() => false);
        if (!isAvailable) {
            return imported;
        }
        await sleep(clock, flags.kvImportMs);
        cache.store(hashes.slice(0, imported + 1));
        return importFrom(from, hashes, imported + 1);
    };
    const importPieces = async ({ req, res }: HttpRequest): Promise<void> => {
        const { from, hashes } = await readJson(req, ImportBody);
        sendJson(res, 200, { imported: await importFrom(from, hashes, 0) });
    };
    const exportPiece = ({ res, params }: HttpRequest): void => {
        const hash = params[0] ?? "";
        if (!cache.current().has(hash)) {
            throw new HttpError(404, "This piece is not cached here.");
        }
        res.writeHead(200, { "content-type": "application/octet-stream", "content-length": flags.kvBytes });
        res.end(kvBytes(hash, flags.kvBytes));
    };
    return [
        { method: "POST", pattern: /^\/v1\/kv\/import$/, handle: importPieces },
        { method: "GET", pattern: /^\/v1\/kv\/([^/]+)$/, handle: exportPiece },
    ];
}
