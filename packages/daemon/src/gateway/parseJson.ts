import type { Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { jsonOf } from "@azureshunt/http";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import type { z } from "zod";

const MAX_FAULTS = 5;

/**
 * Reads JSON of a given shape.
 *
 * @returns Left with `bad-request` that names each field at fault, without its value
 */
export function parseJson<Shape extends z.ZodTypeAny>(
    shape: Shape,
    body: Uint8Array,
): Either<Refusal, z.output<Shape>> {
    const json = jsonOf(body);
    if (json === undefined) {
        return Left(refusalOf("bad-request", "The body is not valid JSON."));
    }
    const result = shape.safeParse(json);
    if (result.success) {
        return Right(result.data as z.output<Shape>);
    }
    const faults = result.error.issues.slice(0, MAX_FAULTS).map(issue => `${issue.path.join(".")}: ${issue.message}`);
    return Left(refusalOf("bad-request", faults.join("; ")));
}
