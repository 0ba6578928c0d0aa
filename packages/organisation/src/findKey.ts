import type { KeySpec } from "@azureshunt/release";

import { isSameDigest } from "./isSameDigest.js";
import { keyIndexOf } from "./keyIndexOf.js";

/**
 * Finds a key by its digest. The look-up is by a digest that a caller cannot choose the beginning of, and the match is
 * compared in constant time.
 */
export function findKey(keys: ReadonlyMap<string, KeySpec>, digest: string): KeySpec | undefined {
    const spec = keyIndexOf(keys).get(digest);
    return spec !== undefined && isSameDigest(spec.digest, digest) ? spec : undefined;
}
