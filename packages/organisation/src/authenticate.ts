import { type Refusal, refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import { type Either, Left, Right } from "purify-ts";

import type { Caller } from "./Caller.js";
import { digestOf } from "./digestOf.js";
import { findKey } from "./findKey.js";

/**
 * Tells which organisation a key belongs to.
 *
 * @param cfg the configuration in force
 * @param key the key as the caller showed it; undefined when it showed none
 * @returns left `missing-key`, `unknown-key` or `withdrawn-key`; an admin key is unknown to callers' listeners
 */
export function authenticate(cfg: Configuration, key: string | undefined): Either<Refusal, Caller> {
    if (key === undefined || key === "") {
        return Left(refusalOf("missing-key"));
    }
    const digest = digestOf(key);
    const spec = findKey(cfg.keys, digest);
    if (spec?.kind === "caller" && spec.organisation !== undefined) {
        return Right({ keyId: spec.id, organisation: spec.organisation });
    }
    return Left(refusalOf(findKey(cfg.withdrawnKeys, digest) === undefined ? "unknown-key" : "withdrawn-key"));
}
