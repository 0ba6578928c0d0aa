import { fingerprintOf } from "@azureshunt/request";
import type { RequestFingerprint } from "@azureshunt/request";

import type { Call } from "../ports/Call.js";

const EXCLUDED_FIELDS: readonly string[] = ["stream", "stream_options", "user"];

const cache = new WeakMap<object, RequestFingerprint>();

const partsOf = ({ organisation, target }: Call): readonly (string | Uint8Array)[] => {
    if (target.kind === "service") {
        return [organisation, target.service, target.method, target.path, target.body];
    }
    const body = Object.entries(target.body)
        .filter(([name]) => !EXCLUDED_FIELDS.includes(name))
        .sort(([a], [b]) => (a < b ? -1 : 1));
    return [organisation, target.path, target.model, target.adapter ?? "", target.version, JSON.stringify(body)];
};

/** Returns a digest of what a call asks for, equal when its caller sends it again, streamed or not. Cached per call. */
export function fingerprintCall(call: Call): RequestFingerprint {
    const fingerprint = cache.get(call.target) ?? fingerprintOf(partsOf(call));
    cache.set(call.target, fingerprint);
    return fingerprint;
}
