import { KeyId, type Refusal, refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import { type Either, Left, Right } from "purify-ts";

import { digestOf } from "./digestOf.js";
import { findKey } from "./findKey.js";
import { isSameDigest } from "./isSameDigest.js";

/** Key id recorded for an action whose key came from the settings. */
const SETTINGS_KEY = KeyId.parse("settings");

/**
 * Checks whether a key belongs to an administrator.
 *
 * @param cfg the configuration in force; undefined if there is none yet
 * @param settingsDigests digests that the settings declare valid, for the time before the first release note
 * @param key the key that was sent; undefined if none was
 * @returns the key's id; left `missing-key`, `unknown-key` or `withdrawn-key`. A caller's key counts as unknown here
 */
export function authenticateAdmin(
    cfg: Configuration | undefined,
    settingsDigests: readonly string[],
    key: string | undefined,
): Either<Refusal, KeyId> {
    if (key === undefined || key === "") {
        return Left(refusalOf("missing-key"));
    }
    const digest = digestOf(key);
    const spec = cfg === undefined ? undefined : findKey(cfg.keys, digest);
    if (spec?.kind === "admin") {
        return Right(spec.id);
    }
    if (settingsDigests.some(known => isSameDigest(known, digest))) {
        return Right(SETTINGS_KEY);
    }
    const isWithdrawn = cfg !== undefined && findKey(cfg.withdrawnKeys, digest) !== undefined;
    return Left(refusalOf(isWithdrawn ? "withdrawn-key" : "unknown-key"));
}
