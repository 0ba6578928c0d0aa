import { KeyId, type Refusal, refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import { type Either, Left, Right } from "purify-ts";

import { digestOf } from "./digestOf.js";
import { findKey } from "./findKey.js";
import { isSameDigest } from "./isSameDigest.js";

/** Id that the records of an action show when its key came from the settings. */
const SETTINGS_KEY = KeyId.parse("settings");

/**
 * Tells whether a key is one of an administrator's.
 *
 * @param cfg the configuration in force; undefined when there is none yet
 * @param settingsDigests digests that the settings declare valid, for the time before the first release note
 * @param key the key as it was shown; undefined when none was
 * @returns the key's id; left `missing-key`, `unknown-key` or `withdrawn-key`; a caller's key is unknown here
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
