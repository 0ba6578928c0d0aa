import type { Millis } from "@azureshunt/core";

import type { BeaconTarget } from "./BeaconTarget.js";
import { domainsOf } from "./domainsOf.js";
import { isAlive } from "./isAlive.js";
import type { Members } from "./Members.js";
import { relaysOf } from "./relaysOf.js";

/**
 * Lists who gets a beacon in each round: from a relay, its failure domain and the relays of the others; else its own
 * relays.
 */
export function usualTargets(members: Members, now: Millis): readonly BeaconTarget[] {
    const own = members.failureDomain;
    const relays = relaysOf(members, own, now);
    const isRelay = relays.includes(members.vm);
    const leaves = [...members.known.values()]
        .filter(member => member.failureDomain === own && isAlive(member, now) && !relays.includes(member.vm))
        .map(({ vm }) => ({ vm, scope: "fleet" as const }));
    const others = domainsOf(members)
        .filter(domain => domain !== own)
        .flatMap(domain => relaysOf(members, domain, now))
        .map(vm => ({ vm, scope: "domain" as const }));
    const ownRelays = relays.filter(vm => vm !== members.vm).map(vm => ({ vm, scope: "vm" as const }));
    return [...ownRelays, ...(isRelay ? [...others, ...leaves] : [])].flatMap(({ vm, scope }) => {
        const address = members.known.get(vm)?.address;
        return address === undefined ? [] : [{ address, vm, scope }];
    });
}
