import { createHash } from "node:crypto";

import type { OrganisationId } from "@azureshunt/core";

import { KeyDigest } from "./KeyDigest.js";

/** Digests an idempotency key, so that two organisations' equal keys differ and the log shows neither. */
export function digestKey(organisation: OrganisationId, idempotencyKey: string): KeyDigest {
    return KeyDigest.parse(createHash("sha256").update(organisation).update("\0").update(idempotencyKey).digest("hex"));
}
