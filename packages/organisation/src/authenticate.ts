import { type Refusal, refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import { type Either, Left, Right } from "purify-ts";

import type { Caller } from "./Caller.js";
import { digestOf } from "./digestOf.js";
import { findKey } from "./findKey.js";

/**
 * Finds the organisation that a key belongs to.
 *
 * @param cfg the configuration in force
 * @param key the key that the caller sent; undefined if it sent none
 * @returns the key's owner; left `missing-key`, `unknown-key` or `withdrawn-key`. An admin key counts as unknown here
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
