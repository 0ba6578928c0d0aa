import type { Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import type { Members } from "./Members.js";
import type { MembersEvent } from "./MembersEvent.js";
import { peerTiming } from "./peerTiming.js";

type Known = Members["known"];

/** Adds those that are not known yet; the map is copied once, as beacons come dozens of times a second. */
const withListed = (members: Members, listed: readonly (readonly [VmId, string])[]): Known => {
    const added = listed.filter(([vm]) => vm !== members.vm && !members.known.has(vm));
    return added.length === 0
        ? members.known
        : new Map([
            ...members.known,
            ...added.map(([vm, address]) => [vm, { vm, address, heard: undefined }] as const),
        ]);
};

/**
 * Failure: datagrams wait in a suspended VM's buffers and are read as news when it goes on; it would take a key for valid
 * that was withdrawn meanwhile. Guard: how old a beacon is follows from this VM's own time stamp that came back in it.
 */
const agesOf = (
    { incarnation }: Members,
    { echo }: Beacon,
): { readonly sentAfter: Millis; readonly stampedAt: Millis; } =>
    echo === undefined || echo.incarnation !== incarnation
        ? { sentAfter: -Infinity, stampedAt: -Infinity }
        : { sentAfter: echo.sentAt + echo.heldMs, stampedAt: echo.sentAt };

const hear = (members: Members, event: Extract<MembersEvent, { readonly kind: "beacon"; }>, now: Millis): Members => {
    const { beacon, address } = event;
    const before = members.known.get(beacon.vm)?.heard;
    const isOvertaken = before?.incarnation === beacon.incarnation && before.beacon.sequence >= beacon.sequence;
    if (beacon.vm === members.vm || isOvertaken) {
        return members;
    }
    if (beacon.isLeaving) {
        return { ...members, known: new Map([...members.known].filter(([vm]) => vm !== beacon.vm)) };
    }
    const { incarnation, failureDomain } = beacon;
    const heard = { incarnation, failureDomain, at: now, beacon, ...agesOf(members, beacon) };
    const known: Known = new Map(members.known).set(beacon.vm, { vm: beacon.vm, address, heard });
    return { ...members, known: withListed({ ...members, known }, beacon.members) };
};

const forget = (members: Members, now: Millis): Members => {
    const isForgotten = (at: Millis): boolean => now - at > peerTiming.forgetMs;
    const kept = [...members.known].filter(([, { heard }]) => !isForgotten(heard?.at ?? members.startedAt));
    return kept.length === members.known.size ? members : { ...members, known: new Map(kept) };
};

/** Applies what is learnt about other VMs. */
export function stepMembers(members: Members, event: MembersEvent, now: Millis): Members {
    switch (event.kind) {
        case "listed":
            return {
                ...members,
                isListed: true,
                known: withListed(members, event.members),
            };
        case "beacon":
            return hear(members, event, now);
        case "tick":
            return forget(members, now);
    }
}
