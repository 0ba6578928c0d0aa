import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Right } from "purify-ts";

import type { AdminAnswer } from "./AdminAnswer.js";

/** Returns an answer with status 200. */
export function ok(body: unknown): Either<Refusal, AdminAnswer> {
    return Right({ status: 200, body });
}
