import { fingerprintOf } from "@azureshunt/request";
import type { RequestFingerprint } from "@azureshunt/request";

import type { Call } from "../ports/Call.js";

const NOT_IN_BODY: readonly string[] = ["stream", "stream_options", "user"];

const known = new WeakMap<object, RequestFingerprint>();

const partsOf = ({ organisation, target }: Call): readonly (string | Uint8Array)[] => {
    if (target.kind === "service") {
        return [organisation, target.service, target.method, target.path, target.body];
    }
    const body = Object.entries(target.body)
        .filter(([name]) => !NOT_IN_BODY.includes(name))
        .sort(([a], [b]) => (a < b ? -1 : 1));
    return [organisation, target.path, target.model, target.adapter ?? "", target.version, JSON.stringify(body)];
};

/** Digests what a call asks for; the same when its caller sends it again, streamed or not. Computed once a call. */
export function fingerprintModel(call: Call): RequestFingerprint {
    const found = known.get(call.target) ?? fingerprintOf(partsOf(call));
    known.set(call.target, found);
    return found;
}
