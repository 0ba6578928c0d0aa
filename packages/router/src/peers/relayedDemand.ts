import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";
import type { VmRole } from "./VmRole.js";

/** Returns the demand, in prompt tokens per millisecond, of the VMs whose state a relay sends to a target. */
export function relayedDemand(
    members: Members,
    scope: "domain" | "fleet",
    roleOf: (vm: VmId) => VmRole,
    target: VmId | undefined,
    now: Millis,
): Tokens {
    const roles: readonly VmRole[] = scope === "domain" ? ["leaf"] : ["leaf", "remote-relay"];
    const direct = [...members.known.values()].flatMap(({ vm, lastReceived }) =>
        lastReceived === undefined || vm === target || !roles.includes(roleOf(vm))
            ? []
            : [{ at: lastReceived.receivedAt, demand: lastReceived.beacon.demand }]
    );
    const summaries = scope === "domain" ? [] : [...members.domainSummaries.values()];
    return [...direct, ...summaries]
        .filter(({ at }) => now - at < peerTiming.goneMs)
        .reduce((sum, { demand }) => sum + demand, 0);
}
