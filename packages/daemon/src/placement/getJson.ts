import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { request } from "undici";
import type { Dispatcher } from "undici";
import type { z } from "zod";

const STATUS_OK = 200;

/**
 * Fetches a JSON answer and checks its shape.
 *
 * @returns Left when no answer of that shape came within the bound
 */
export async function getJson<Shape extends z.ZodTypeAny>(
    dispatcher: Dispatcher,
    url: string,
    shape: Shape,
    timeoutMs: number,
): Promise<Either<Error, z.output<Shape>>> {
    try {
        const res = await request(url, { dispatcher, signal: AbortSignal.timeout(timeoutMs) });
        if (res.statusCode !== STATUS_OK) {
            await res.body.dump();
            return Left(new Error(`status ${res.statusCode}`));
        }
        return Right(shape.parse(await res.body.json()) as z.output<Shape>);
    }
    catch (err) {
        return Left(err instanceof Error ? err : new Error(String(err)));
    }
}
