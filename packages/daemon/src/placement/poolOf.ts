import type { Call } from "../ports/Call.js";

/** Returns the name of the pool of endpoints that a call competes for; each pool has its own queue. */
export function poolOf(call: Call): string {
    const { target } = call;
    return target.kind === "service"
        ? `service ${target.service}`
        : `model ${target.model} ${target.adapter ?? ""} ${target.version}`;
}
