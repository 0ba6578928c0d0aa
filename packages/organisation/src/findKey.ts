import type { KeySpec } from "@azureshunt/release";

import { isSameDigest } from "./isSameDigest.js";
import { keyIndexOf } from "./keyIndexOf.js";

/**
 * Finds a key by its digest. The time of the look-up reveals nothing useful, as a caller cannot choose the beginning of
 * a digest; the match itself is compared in constant time.
 */
export function findKey(keys: ReadonlyMap<string, KeySpec>, digest: string): KeySpec | undefined {
    const spec = keyIndexOf(keys).get(digest);
    return spec !== undefined && isSameDigest(spec.digest, digest) ? spec : undefined;
}
