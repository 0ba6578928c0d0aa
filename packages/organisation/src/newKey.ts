import { invariant } from "@azureshunt/core";

import { digestOf } from "./digestOf.js";
import type { GeneratedKey } from "./GeneratedKey.js";

const KEY_BYTES = 32;
const PREFIXES = { caller: "ask_", admin: "asa_" } as const;

/**
 * Creates a key from random bytes.
 *
 * @param kind kind of key: a `caller` key begins with `ask_`, an `admin` key with `asa_`
 * @param random at least 32 bytes of a cryptographic random source
 * @throws Error if there are fewer bytes
 */
export function newKey(kind: "caller" | "admin", random: Uint8Array): GeneratedKey {
    invariant(random.length >= KEY_BYTES, "AS-101", "a key is made of at least 32 random bytes");
    const key = `${PREFIXES[kind]}${Buffer.from(random).toString("base64url")}`;
    return { key, digest: digestOf(key) };
}
