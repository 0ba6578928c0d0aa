import type { FailureDomain, Incarnation, Millis, VmId } from "@azureshunt/core";

import { declarationsDueIn } from "../../knowledge/declarationsDueIn.js";
import type { Knowledge } from "../../knowledge/Knowledge.js";
import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { readerWaitMs } from "../../knowledge/readerWaitMs.js";
import { stepKnowledge } from "../../knowledge/stepKnowledge.js";
import type { Beacon } from "../../peers/Beacon.js";
import { createBeaconPacer } from "../../peers/createBeaconPacer.js";
import { createMembership } from "../../peers/createMembership.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { routingOf } from "./routingOf.js";

type FleetParts = {
    readonly vms: number;
    readonly domains: number;
    readonly forMs: Millis;
    readonly random: () => number;
    /** Share of beacons that are lost. */
    readonly loss: number;
    /** Whether the store turns a VM away. */
    readonly isTurnedAway: (vm: number, now: Millis) => boolean;
};

/** What was seen after the fleet had settled. */
type FleetSeen = {
    /** Greatest age of the evidence for the configuration on any VM that is not turned away, and on any other. */
    readonly oldestMs: Millis;
    readonly oldestTurnedAwayMs: Millis;
    readonly readsPerSecond: number;
};

const SETTLED_MS = 6_000;
/** As long as the router waits until it looks again whether a read is due. */
const LOOK_MS = 250;
const CALL_MS = 10;
const STORE_MS = 3_300;

/** Runs VMs in virtual time that read declarations by turns and vouch for each other; nothing new is declared. */
export function evidenceFleet(parts: FleetParts): FleetSeen {
    const { clock, later, runUntil } = createVirtualTime();
    const seen = { oldestMs: 0, oldestTurnedAwayMs: 0, reads: 0 };
    const revision = 1;

    const vms = Array.from({ length: parts.vms }, (_, i) => {
        const vm = `vm-${String(i).padStart(3, "0")}` as VmId;
        const incarnation = `run-${i}` as Incarnation;
        const failureDomain = `domain-${i % parts.domains}` as FailureDomain;
        const membership = createMembership(clock, { vm, incarnation, failureDomain, seeds: [] });
        const own = { knowledge: noKnowledge as Knowledge, storeAt: -Infinity, askedAt: -Infinity, sequence: 0 };
        const stamps = new Map<
            VmId,
            { readonly incarnation: Incarnation; readonly sentAt: Millis; readonly at: Millis; }
        >();
        const hear = (beacon: Beacon): void => {
            stamps.set(beacon.vm, { incarnation: beacon.incarnation, sentAt: beacon.sentAt, at: clock.now() });
            const news = membership.hear(beacon, beacon.vm);
            if (news !== undefined && beacon.confirmedMs !== undefined) {
                const { sentAfter, stampedAt } = news.heard;
                const asOf = sentAfter - beacon.confirmedMs;
                own.knowledge = stepKnowledge(
                    own.knowledge,
                    { kind: "confirmed", revision, asOf, stampedAt },
                    clock.now(),
                );
            }
        };
        const beaconTo = (to: VmId): Beacon => {
            const stamp = stamps.get(to);
            own.sequence += 1;
            return {
                vm,
                incarnation,
                failureDomain,
                sequence: own.sequence,
                sentAt: clock.now(),
                echo: stamp === undefined ? undefined : { ...stamp, heldMs: clock.now() - stamp.at },
                members: [],
                revision,
                confirmedMs: own.knowledge.confirmedAt === -Infinity
                    ? undefined
                    : clock.now() - own.knowledge.confirmedAt,
                hasStore: clock.now() - own.storeAt < STORE_MS,
                isLeaving: false,
            } as unknown as Beacon;
        };
        const read = (): void => {
            const isReader = membership.isDomainReader();
            const dueIn = declarationsDueIn({ knowledge: own.knowledge, askedAt: own.askedAt, isReader }, clock.now());
            if (dueIn > 0) {
                later(Math.min(dueIn, LOOK_MS), read);
                return;
            }
            const askedAt = clock.now();
            seen.reads += clock.now() > SETTLED_MS ? 1 : 0;
            if (parts.isTurnedAway(i, clock.now())) {
                later(250, read);
                return;
            }
            const isFirst = own.knowledge.configuration === undefined;
            const waitMs = isReader && !isFirst ? readerWaitMs(membership.newsEveryMs()) : 0;
            later(CALL_MS + waitMs, () => {
                own.storeAt = clock.now();
                own.askedAt = askedAt;
                const configuration = routingOf(revision, []);
                own.knowledge = stepKnowledge(own.knowledge, { kind: "configuration", configuration }, clock.now());
                const event = { kind: "confirmed", revision, asOf: askedAt, stampedAt: askedAt } as const;
                own.knowledge = stepKnowledge(own.knowledge, event, clock.now());
                read();
            });
        };
        return { vm, membership, own, hear, beaconTo, read };
    });
    const byName = new Map(vms.map(each => [each.vm, each]));
    vms.forEach(({ vm, membership, beaconTo, read }) => {
        membership.list(vms.map(other => [other.vm, other.vm] as const));
        later(parts.random() * 300, () => {
            read();
            createBeaconPacer<VmId>({
                clock,
                later,
                targets: () => vms.map(other => other.vm).filter(other => other !== vm),
                onRound: () => undefined,
                tell: batch =>
                    batch.filter(() => parts.random() >= parts.loss).forEach(to => {
                        const beacon = beaconTo(to);
                        later(1 + parts.random() * 3, () => byName.get(to)?.hear(beacon));
                    }),
                intervalMs: membership.newsEveryMs,
            });
        });
    });
    const look = (): void => {
        if (clock.now() > SETTLED_MS) {
            vms.forEach(({ own }, i) => {
                const ageMs = clock.now() - own.knowledge.confirmedAt;
                const key = parts.isTurnedAway(i, clock.now()) ? "oldestTurnedAwayMs" : "oldestMs";
                seen[key] = Math.max(seen[key], ageMs);
            });
        }
        later(LOOK_MS, look);
    };
    look();
    runUntil(parts.forMs);
    const { oldestMs, oldestTurnedAwayMs, reads } = seen;
    return { oldestMs, oldestTurnedAwayMs, readsPerSecond: reads * 1_000 / (parts.forMs - SETTLED_MS) };
}
