import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import type { z } from "zod";

/** Parses a peer's answer. One of an unknown shape, as a peer of another version may send, counts as no answer. */
export function parseAnswer<Schema extends z.ZodTypeAny>(
    schema: Schema,
    answer: Either<Error, object>,
): Either<Error, z.output<Schema>> {
    return answer.chain(body => {
        const parsed = schema.safeParse(body);
        return parsed.success ? Right(parsed.data as z.output<Schema>) : Left(parsed.error);
    });
}
