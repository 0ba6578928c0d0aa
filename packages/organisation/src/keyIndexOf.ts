import type { Configuration, KeySpec } from "@azureshunt/release";

import { bucketOf } from "./bucketOf.js";
import type { KeyIndex } from "./KeyIndex.js";

const indexes = new WeakMap<Configuration, KeyIndex>();

const byBucket = (keys: ReadonlyMap<string, KeySpec>): ReadonlyMap<string, readonly KeySpec[]> => {
    const buckets = new Map<string, KeySpec[]>();
    keys.forEach(key => {
        const bucket = buckets.get(bucketOf(key.digest)) ?? [];
        bucket.push(key);
        buckets.set(bucketOf(key.digest), bucket);
    });
    return buckets;
};

/** Gives the index of a configuration's keys, built once for each configuration. */
export function keyIndexOf(cfg: Configuration): KeyIndex {
    const known = indexes.get(cfg);
    if (known !== undefined) {
        return known;
    }
    const index = { valid: byBucket(cfg.keys), withdrawn: byBucket(cfg.withdrawnKeys) };
    indexes.set(cfg, index);
    return index;
}
