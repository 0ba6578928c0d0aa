import { RecordId } from "@azureshunt/core";
import { isFinalStatus } from "@azureshunt/http";
import { timeoutSignal } from "@azureshunt/lifecycle";
import { Left, Right } from "purify-ts";
import { Agent, request } from "undici";
import { z } from "zod";

import type { LogPort } from "./LogPort.js";

/** Timeout of an append, which then fails as `lost`, and of a read beyond its `waitMs`, then `unreachable`. */
const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 500;

const STATUS_EXPIRED = 410;
const STATUS_OK = 200;

const AppendAnswer = z.object({ offsets: z.array(z.number().int()) });
const Range = z.object({ start: z.number().int(), end: z.number().int() });
const ReadAnswer = Range.extend({
    records: z.array(z.object({
        offset: z.number().int(),
        id: RecordId,
        at: z.number(),
        data: z.unknown().transform(data => data as unknown),
    })),
});

/** Returns whether an error shows that no byte of the request can have reached the log. */
const isNeverSent = (err: unknown): boolean =>
    err instanceof Error && "code" in err && (err.code === "ECONNREFUSED" || err.code === "UND_ERR_CONNECT_TIMEOUT");

/**
 * Creates a client of the platform's log.
 *
 * If the log is down, calls fail as `unreachable`. If the answer to an append gets lost, the append may have taken
 * effect, and repeating it could write the record twice. To prevent this, an append fails as `unreachable` only if the
 * connection failed or the log itself reported an error, so that it is certain not to have taken effect. Every other
 * failure, such as a timeout, is `lost`, and the caller looks for its record id before it repeats the append.
 *
 * @param url base URL of the platform
 */
export function createLogClient(url: string): LogPort & { readonly close: () => Promise<void>; } {
    const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, connections: 64, pipelining: 1 });
    const streamUrl = (stream: string): string => `${url}/log/${encodeURIComponent(stream)}`;

    const append: LogPort["append"] = async (stream, records) => {
        try {
            const res = await request(streamUrl(stream), {
                method: "POST",
                dispatcher,
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ records }),
                signal: timeoutSignal(CALL_TIMEOUT_MS),
            });
            const text = await res.body.text();
            if (!isFinalStatus(res.statusCode)) {
                return Left({ kind: "lost" as const });
            }
            return res.statusCode === STATUS_OK
                ? Right(AppendAnswer.parse(JSON.parse(text)).offsets)
                : Left({ kind: "unreachable" as const });
        }
        catch (err) {
            return Left({ kind: isNeverSent(err) ? "unreachable" as const : "lost" as const });
        }
    };

    const read: LogPort["read"] = async (stream, from, limit, waitMs, signal) => {
        try {
            const res = await request(streamUrl(stream), {
                dispatcher,
                query: { from, limit, waitMs },
                signal: AbortSignal.any([signal, timeoutSignal(waitMs + CALL_TIMEOUT_MS)]),
            });
            const text = await res.body.text();
            if (res.statusCode === STATUS_EXPIRED) {
                return Left({ kind: "expired" as const, ...Range.parse(JSON.parse(text)) });
            }
            return res.statusCode === STATUS_OK
                ? Right(ReadAnswer.parse(JSON.parse(text)))
                : Left({ kind: "unreachable" as const });
        }
        catch {
            return Left({ kind: "unreachable" as const });
        }
    };

    return { append, read, close: () => dispatcher.close() };
}
