import { createHash } from "node:crypto";

import type { ServiceCall } from "../ports/ServiceCall.js";

/** Returns a digest of a service call, which detects a different call under the same idempotency key. */
export function fingerprintService(target: ServiceCall): string {
    const head = JSON.stringify([target.service, target.method, target.path, target.contentType ?? ""]);
    return createHash("sha256").update(head).update("\n").update(target.body).digest("hex");
}
