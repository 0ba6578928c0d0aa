import type { FailureDomain, Millis } from "@azureshunt/core";

import { beaconInterval } from "./beaconInterval.js";
import type { BeaconTarget } from "./BeaconTarget.js";
import { domainsOf } from "./domainsOf.js";
import { isAlive } from "./isAlive.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";
import { relaysOf } from "./relaysOf.js";
import { usualTargets } from "./usualTargets.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;

/**
 * Beacon intervals for which a VM gets referrals after its last beacon, if that was of scope `vm`: it may take this VM
 * for a relay.
 */
const REFERRAL_INTERVALS = 2;

const referralTargets = (members: Members, now: Millis): readonly Member[] =>
    [...members.known.values()].filter(({ lastReceived }) =>
        lastReceived?.beacon.scope === "vm" &&
        now - lastReceived.receivedAt < REFERRAL_INTERVALS * beaconInterval(members.known.size)
    );

/**
 * Lists the VMs of a failure domain that are not alive and get a beacon now: those that would be its relays, and one of
 * the others in rotation.
 *
 * If both relays of a failure domain die at once, or the domain was cut off for a minute, nobody sends to the other VMs
 * there any more, and without these beacons each side would wait for the other.
 */
const silentInDomain = (members: Members, domain: FailureDomain, turn: number, now: Millis): readonly Member[] => {
    const silent = [...members.known.values()]
        .filter(member => member.failureDomain === domain && !isAlive(member, now))
        .toSorted((a, b) => b.capacity - a.capacity || (a.vm < b.vm ? -1 : 1));
    const first = silent.slice(0, peerTiming.silentAtOnce - 1);
    const rest = silent.slice(first.length);
    return [...first, ...rest.slice(turn % Math.max(1, rest.length)).slice(0, 1)];
};

/**
 * Lists the VMs that are not alive and get a beacon now: some of each failure domain that has fewer live relays than it
 * should have. A VM that receives nothing from its own failure domain sends to all VMs there: when both relays have
 * died, each remaining VM is alone, and none of them knows which of the others is alive.
 */
const silentTargets = (members: Members, isRelay: boolean, turn: number, now: Millis): readonly Member[] => {
    const own = [...members.known.values()].filter(({ failureDomain }) => failureDomain === members.failureDomain);
    const isAloneInDomain = own.every(member => !isAlive(member, now));
    const others = (isRelay ? domainsOf(members) : [members.failureDomain])
        .filter(domain => relaysOf(members, domain, now).length < peerTiming.relays)
        .flatMap(domain => silentInDomain(members, domain, turn, now));
    return [...(isAloneInDomain && own.some(({ lastReceived }) => lastReceived !== undefined) ? own : []), ...others];
};

/**
 * Lists who gets a beacon in this round, and whose state it contains.
 *
 * @param round sequence number of the round
 */
export function beaconTargets(members: Members, round: number, now: Millis): readonly BeaconTarget[] {
    const isRelay = relaysOf(members, members.failureDomain, now).includes(members.vm);
    const interval = beaconInterval(members.known.size);
    const rounds = Math.max(1, Math.round(peerTiming.silentBeaconMs / interval));
    const isProbeRound = round % rounds === 0;
    const silent = isProbeRound ? [...new Set(silentTargets(members, isRelay, Math.floor(round / rounds), now))] : [];
    const addresses = new Set([...members.known.values()].map(({ address }) => address));
    const seeds = isProbeRound ? members.seeds.filter(seed => !addresses.has(seed)) : [];
    const usual = usualTargets(members, now);
    const isUsual = new Set(usual.map(({ vm }) => vm));
    const isProbed = new Set(silent.map(({ vm }) => vm));
    return [
        ...usual,
        ...silent
            .filter(({ vm }) => !isUsual.has(vm))
            .map(({ vm, address }) => ({ vm, address, scope: "vm" as const })),
        ...referralTargets(members, now)
            .filter(({ vm }) => !isUsual.has(vm) && !isProbed.has(vm))
            .map(({ vm, address }) => ({ vm, address, scope: "referral" as const })),
        ...seeds.map(address => ({ address, vm: undefined, scope: "vm" as const })),
    ];
}
