import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import type { DomainCount } from "./DomainCount.js";
import { domainsOf } from "./domainsOf.js";
import { isAlive } from "./isAlive.js";
import { isSilent } from "./isSilent.js";
import type { KnownVm } from "./KnownVm.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";
import { relaysOf } from "./relaysOf.js";
import { remoteRelays } from "./remoteRelays.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;

/** Returns how long ago a VM was seen, pauses of this process included: to its peers it is a fact, not a silence. */
const ageOf = ({ lastSeenAt, pausedMs = 0 }: Member, now: Millis): Millis => Math.round(now - lastSeenAt + pausedMs);

/** Lists the VMs of a failure domain that are not gone. */
const presentIn = ({ known }: Members, domain: FailureDomain, now: Millis): readonly Member[] =>
    [...known.values()].filter(({ failureDomain, lastSeenAt }) =>
        failureDomain === domain && now - lastSeenAt < peerTiming.goneMs
    );

const countOf = (members: Members, domain: FailureDomain, present: readonly Member[], now: Millis): DomainCount => ({
    failureDomain: domain,
    vms: present.length,
    silent: present.filter(member => isSilent(members, member, now)).length,
    ageMs: Math.min(peerTiming.goneMs, ...present.map(member => ageOf(member, now))),
});

/** Counts the VMs of another failure domain: its relays, and the VMs that these count. */
const remoteCount = (
    members: Members,
    domain: FailureDomain,
    relays: readonly Member[],
    now: Millis,
): DomainCount => {
    const own = countOf(members, domain, relays, now);
    const summary = members.domainSummaries.get(domain);
    const counted = summary === undefined || now - summary.at >= peerTiming.goneMs ? [] : summary.domains;
    const isCutOff = own.silent === own.vms;
    return {
        ...own,
        ageMs: Math.min(own.ageMs, Math.round(now - (summary?.at ?? -Infinity) + (summary?.pausedMs ?? 0))),
        vms: counted.reduce((sum, { vms }) => sum + vms, own.vms),
        silent: counted.reduce((sum, { vms, silent }) => sum + (isCutOff ? vms : silent), own.silent),
    };
};

const knownVms = (members: Members, vms: readonly VmId[], now: Millis): readonly KnownVm[] =>
    vms.flatMap(vm => {
        const member = members.known.get(vm);
        if (member === undefined || member.failureDomain === undefined || !isAlive(member, now)) {
            return [];
        }
        const { address, failureDomain, capacity, hasStore } = member;
        return [{ vm, address, failureDomain, capacity, hasStore, ageMs: ageOf(member, now) }];
    });

/**
 * Returns what a beacon contains about other VMs: those that its receiver may need if relays die, and how many there
 * are. The VMs of other failure domains are only counted, so that the size of a beacon does not grow with their number.
 */
export function memberFieldsOf(members: Members, scope: Beacon["scope"], now: Millis): Pick<Beacon, "vms" | "domains"> {
    const own = members.failureDomain;
    const ownRelays = relaysOf(members, own, now);
    const remote = domainsOf(members).filter(domain => domain !== own);
    const relays = [...ownRelays, ...remote.flatMap(domain => relaysOf(members, domain, now))];
    switch (scope) {
        case "vm":
            // If both relays die, the VMs that take over may know this VM but not each other. They learn of each other
            // from this list, which then contains them.
            return { vms: knownVms(members, ownRelays, now), domains: [] };
        case "referral":
            return { vms: knownVms(members, relays, now), domains: [] };
        case "domain": {
            const leaves = presentIn(members, own, now).filter(({ vm }) => !ownRelays.includes(vm));
            return {
                vms: knownVms(members, ownRelays, now),
                domains: [{ ...countOf(members, own, leaves, now), ageMs: 0 }],
            };
        }
        case "fleet": {
            const present = presentIn(members, own, now);
            const count = countOf(members, own, present, now);
            const directRelays = remoteRelays(members, now);
            const relaysIn = (domain: FailureDomain): readonly Member[] =>
                directRelays.filter(({ failureDomain }) => failureDomain === domain);
            const vms = [...new Set([...present.map(({ vm }) => vm), ...relays])];
            return {
                vms: knownVms(members, vms, now),
                domains: [
                    // Includes this VM.
                    { ...count, vms: count.vms + 1, ageMs: 0 },
                    ...remote.map(domain => remoteCount(members, domain, relaysIn(domain), now)).filter(each =>
                        each.vms > 0
                    ),
                ],
            };
        }
    }
}
