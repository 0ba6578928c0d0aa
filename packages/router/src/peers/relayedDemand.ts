import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";
import type { VmRole } from "./VmRole.js";

/** `vm` is undefined for the sum of several VMs. */
type RelayedDemand = { readonly vm: VmId | undefined; readonly at: Millis; readonly demand: Tokens; };

/**
 * Collects the demand of the VMs whose state a relay sends on, once for all targets of a batch: looking through all VMs
 * for each target would take steps with the square of their number.
 *
 * @returns a function that gives the demand for one target, in prompt tokens per millisecond, without the target's own
 */
export function relayedDemand(
    members: Members,
    scope: "domain" | "fleet",
    roleOf: (vm: VmId) => VmRole,
    now: Millis,
): (target: VmId | undefined) => Tokens {
    const roles: readonly VmRole[] = scope === "domain" ? ["leaf"] : ["leaf", "remote-relay"];
    const direct = [...members.known.values()].flatMap(({ vm, lastReceived }): readonly RelayedDemand[] =>
        lastReceived === undefined || lastReceived.beacon.demand === 0 || !roles.includes(roleOf(vm))
            ? []
            : [{ vm, at: lastReceived.receivedAt, demand: lastReceived.beacon.demand }]
    );
    const summaries = scope === "domain" ? [] : [...members.domainSummaries.values()];
    const current = [...direct, ...summaries.map(({ at, demand }): RelayedDemand => ({ vm: undefined, at, demand }))]
        .filter(({ at }) => now - at < peerTiming.goneMs);
    return target =>
        current.filter(({ vm }) => vm === undefined || vm !== target).reduce((sum, { demand }) => sum + demand, 0);
}
