import { createHash } from "node:crypto";

import type { OrganisationId } from "@azureshunt/core";

import { KeyDigest } from "./KeyDigest.js";

/**
 * Computes the digest of an idempotency key. Equal keys of different organisations have different digests, and the log
 * does not contain the key itself.
 */
export function digestKey(organisation: OrganisationId, idempotencyKey: string): KeyDigest {
    return KeyDigest.parse(createHash("sha256").update(organisation).update("\0").update(idempotencyKey).digest("hex"));
}
