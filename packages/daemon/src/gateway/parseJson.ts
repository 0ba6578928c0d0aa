import type { Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { jsonOf } from "@azureshunt/http";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import type { z } from "zod";

const MAX_FAULTS = 5;

/**
 * Parses a JSON body and checks it against a schema.
 *
 * @returns Left with `bad-request`, which names up to `MAX_FAULTS` invalid fields without their values
 */
export function parseJson<Schema extends z.ZodTypeAny>(
    schema: Schema,
    body: Uint8Array,
): Either<Refusal, z.output<Schema>> {
    const json = jsonOf(body);
    if (json === undefined) {
        return Left(refusalOf("bad-request", "The body is not valid JSON."));
    }
    const result = schema.safeParse(json);
    if (result.success) {
        return Right(result.data as z.output<Schema>);
    }
    const faults = result.error.issues.slice(0, MAX_FAULTS).map(issue => `${issue.path.join(".")}: ${issue.message}`);
    return Left(refusalOf("bad-request", faults.join("; ")));
}
