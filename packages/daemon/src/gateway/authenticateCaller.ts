import type { Refusal } from "@azureshunt/core";
import { authenticate } from "@azureshunt/organisation";
import type { Configuration } from "@azureshunt/release";
import type { Either } from "purify-ts";

import { bearerKey } from "./bearerKey.js";
import type { Caller } from "./Caller.js";

/**
 * Returns the caller whose key is in an `Authorization` header.
 *
 * @returns Left with `missing-key`, `unknown-key` or `withdrawn-key`
 */
export function authenticateCaller(cfg: Configuration, authorization: string | undefined): Either<Refusal, Caller> {
    return authenticate(cfg, bearerKey(authorization));
}
