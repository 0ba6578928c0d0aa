import { timeoutSignal } from "@azureshunt/lifecycle";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { request } from "undici";
import type { Dispatcher } from "undici";
import type { z } from "zod";

const STATUS_OK = 200;

/**
 * Fetches a JSON answer and validates it against a schema.
 *
 * @returns Left if no valid answer with status 200 came within the timeout
 */
export async function getJson<Schema extends z.ZodTypeAny>(
    dispatcher: Dispatcher,
    url: string,
    schema: Schema,
    timeoutMs: number,
): Promise<Either<Error, z.output<Schema>>> {
    try {
        const res = await request(url, { dispatcher, signal: timeoutSignal(timeoutMs) });
        if (res.statusCode !== STATUS_OK) {
            await res.body.dump();
            return Left(new Error(`status ${res.statusCode}`));
        }
        return Right(schema.parse(await res.body.json()) as z.output<Schema>);
    }
    catch (err) {
        return Left(err instanceof Error ? err : new Error(String(err)));
    }
}
