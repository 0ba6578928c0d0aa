import type { Millis, VmId } from "@azureshunt/core";

import { addPause } from "./addPause.js";
import type { Beacon } from "./Beacon.js";
import { isOfEarlierProcess } from "./isOfEarlierProcess.js";
import type { KnownVm } from "./KnownVm.js";
import type { ListedVm } from "./ListedVm.js";
import type { Members } from "./Members.js";
import type { MembersEvent } from "./MembersEvent.js";
import { peerTiming } from "./peerTiming.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;

const addListed = (members: Members, vms: readonly ListedVm[]): Members => {
    const added = vms.filter(({ vm }) => vm !== members.vm && !members.known.has(vm));
    const known = added.map((each): readonly [VmId, Member] => [
        each.vm,
        { ...each, hasStore: false, lastSeenAt: -Infinity, lastReceived: undefined },
    ]);
    return { ...members, isListed: true, known: new Map([...members.known, ...known]) };
};

/**
 * Returns the earliest time at which a beacon can have been sent, computed from this VM's timestamp that it echoes.
 *
 * While a VM is suspended, datagrams wait in its buffers. If it took them for current when it resumes, it would accept
 * a key that was withdrawn meanwhile.
 */
const timesOf = (
    { incarnation }: Members,
    { echo }: Beacon,
): { readonly sentAfter: Millis; readonly stampedAt: Millis; } =>
    echo === undefined || echo.incarnation !== incarnation
        ? { sentAfter: -Infinity, stampedAt: -Infinity }
        : { sentAfter: echo.sentAt + echo.heldMs, stampedAt: echo.sentAt };

/** Applies what a peer sends about a third VM, if it is newer than what this VM knows, even from that VM itself. */
const withKnownVm = (known: Map<VmId, Member>, each: KnownVm, sentAfter: Millis): void => {
    const { vm, address, failureDomain, capacity, hasStore, ageMs } = each;
    const before = known.get(vm);
    const lastSeenAt = sentAfter - ageMs;
    if (lastSeenAt > (before?.lastSeenAt ?? -Infinity)) {
        known.set(vm, {
            vm,
            address,
            failureDomain,
            capacity,
            hasStore,
            lastSeenAt,
            lastReceived: before?.lastReceived,
        });
    }
};

/**
 * Applies the counts of a relay. If a beacon takes several datagrams, the counts are in the first one, since they are
 * the first rows that the encoder packs; the others change nothing here. Counts that do not fit into the first datagram
 * would replace those before them.
 */
const withRelaySummary = (
    members: Members,
    beacon: Beacon,
    at: Millis,
): Pick<Members, "domainSummaries" | "fleetSummary"> => {
    const { domainSummaries, fleetSummary } = members;
    if (beacon.domains.length === 0) {
        return { domainSummaries, fleetSummary };
    }
    const isOfFleet = beacon.scope === "fleet";
    const before = isOfFleet ? fleetSummary : domainSummaries.get(beacon.failureDomain);
    // One that lay unread while this process did not run makes no relay silent.
    const countedAt = Math.max(at, before?.at ?? -Infinity);
    const summary = {
        at: countedAt,
        pausedMs: countedAt - at,
        domains: beacon.domains,
        demand: beacon.relayedDemand,
    };
    return isOfFleet
        ? { domainSummaries, fleetSummary: summary }
        : { domainSummaries: new Map(domainSummaries).set(beacon.failureDomain, summary), fleetSummary };
};

const applyBeacon = (
    members: Members,
    event: Extract<MembersEvent, { readonly kind: "beacon"; }>,
    now: Millis,
): Members => {
    const { beacon, address } = event;
    const previous = members.known.get(beacon.vm)?.lastReceived;
    const isSameProcess = previous?.incarnation === beacon.incarnation;
    const isOvertaken = isSameProcess && previous.beacon.sentAt - beacon.sentAt > peerTiming.reorderMs;
    if (beacon.vm === members.vm || isOvertaken || isOfEarlierProcess(beacon, previous, now)) {
        return members;
    }
    if (beacon.isLeaving) {
        return { ...members, known: new Map([...members.known].filter(([vm]) => vm !== beacon.vm)) };
    }
    const { vm, incarnation, failureDomain, capacity, hasStore } = beacon;
    const startedBefore = Math.min(now - beacon.upMs, isSameProcess ? previous.startedBefore : Infinity);
    const times = { receivedAt: now, startedBefore, ...timesOf(members, beacon) };
    const lastReceived = { incarnation, failureDomain, beacon, ...times };
    const sentAfter = lastReceived.sentAfter === -Infinity ? now : lastReceived.sentAfter;
    const known = new Map(members.known);
    // Told to others, a beacon that lay unread must not make a VM seem alive that has ended since. Shorter delays are left out:
    // they are those of the echo, and would add up over several relays.
    const delayMs = now - sentAfter;
    const pausedMs = delayMs > peerTiming.aliveMs ? delayMs : 0;
    known.set(vm, { vm, address, failureDomain, capacity, hasStore, lastSeenAt: now, pausedMs, lastReceived });
    beacon.vms.filter(each => each.vm !== members.vm).forEach(each => withKnownVm(known, each, sentAfter));
    return { ...members, known, ...withRelaySummary(members, beacon, sentAfter) };
};

const forgetSilent = (members: Members, now: Millis): Members => {
    const isForgotten = (at: Millis): boolean => now - at > peerTiming.forgetMs;
    const remembered = [...members.known].filter(([, { lastSeenAt }]) =>
        !isForgotten(lastSeenAt === -Infinity ? members.startedAt : lastSeenAt)
    );
    return remembered.length === members.known.size ? members : { ...members, known: new Map(remembered) };
};

/** Returns the members after an event. */
export function stepMembers(members: Members, event: MembersEvent, now: Millis): Members {
    switch (event.kind) {
        case "listed":
            return addListed(members, event.vms);
        case "beacon":
            return applyBeacon(members, event, now);
        case "tick":
            return forgetSilent(members, now);
        case "paused":
            return addPause(members, event.ms, now);
    }
}
