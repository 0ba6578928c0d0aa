import type { KeySpec } from "@azureshunt/release";

type Keys = ReadonlyMap<string, KeySpec>;

const indexes = new WeakMap<Keys, ReadonlyMap<string, KeySpec>>();

/**
 * Gives the index of some keys by their digests, built once for each set of keys: configurations that differ in other
 * things share it.
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
