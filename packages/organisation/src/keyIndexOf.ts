import type { KeySpec } from "@azureshunt/release";

type Keys = ReadonlyMap<string, KeySpec>;

const indexes = new WeakMap<Keys, ReadonlyMap<string, KeySpec>>();

/**
 * Returns an index of keys by digest. It is built once per set of keys, so configurations that differ elsewhere share
 * it.
 *
 * @param keys the valid or the withdrawn keys of a configuration
 */
export function keyIndexOf(keys: Keys): ReadonlyMap<string, KeySpec> {
    const known = indexes.get(keys);
    if (known !== undefined) {
        return known;
    }
    const index = new Map<string, KeySpec>();
    keys.forEach(key => index.set(key.digest, key));
    indexes.set(keys, index);
    return index;
}
