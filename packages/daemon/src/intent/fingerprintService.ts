import { createHash } from "node:crypto";

import type { ServiceCall } from "../ports/ServiceCall.js";

/** Digests what a call to a service asks for, to tell another call that uses the same idempotency key. */
export function fingerprintService(target: ServiceCall): string {
    const head = JSON.stringify([target.service, target.method, target.path, target.contentType ?? ""]);
    return createHash("sha256").update(head).update("\n").update(target.body).digest("hex");
}
