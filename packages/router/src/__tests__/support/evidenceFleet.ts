import type { Millis, VmId } from "@azureshunt/core";

import { declarationsDueIn } from "../../knowledge/declarationsDueIn.js";
import type { Knowledge } from "../../knowledge/Knowledge.js";
import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { readerWaitMs } from "../../knowledge/readerWaitMs.js";
import { stepKnowledge } from "../../knowledge/stepKnowledge.js";
import { relayFleet } from "./relayFleet.js";
import { routingOf } from "./routingOf.js";

type SimulationParts = {
    readonly vms: number;
    readonly domains: number;
    readonly forMs: Millis;
    readonly random: () => number;
    /** Fraction of beacons that are lost. */
    readonly loss: number;
    /** Whether the store refuses a VM; VMs are numbered across the failure domains in rotation. */
    readonly isTurnedAway: (vm: number, now: Millis) => boolean;
};

/** What was measured after the VMs had settled. */
type SimulationResult = {
    /** Maximum age of the configuration on any VM that the store does not refuse. */
    readonly oldestMs: Millis;
    /** The same on any VM that the store refuses. */
    readonly oldestTurnedAwayMs: Millis;
    readonly readsPerSecond: number;
};

type SimulatedVm = ReturnType<ReturnType<typeof relayFleet>["vm"]>;
type VmState = { knowledge: Knowledge; storeAt: Millis; askedAt: Millis; readonly number: number; };

const SETTLED_MS = 6_000;
/** Time after which the router checks again whether a read is due. */
const RECHECK_MS = 250;
const CALL_MS = 10;
const RETRY_MS = 250;
const STORE_SEEN_MS = 3_300;
const REVISION = 1;

/** Runs VMs in virtual time that read declarations in rotation and confirm them to each other; none is new. */
export function evidenceFleet(parts: SimulationParts): SimulationResult {
    const measured = { oldestMs: 0, oldestTurnedAwayMs: 0, reads: 0 };
    const states = new Map<VmId, VmState>();

    const fleet = relayFleet({
        domains: parts.domains,
        vmsPerDomain: parts.vms / parts.domains,
        random: parts.random,
        loss: parts.loss,
        onStart: vm => startReading(vm),
        onHeard: (vm, { beacon, sentAfter, stampedAt }) => {
            const state = states.get(vm);
            if (state !== undefined && beacon.confirmedMs !== undefined) {
                const asOf = sentAfter - beacon.confirmedMs;
                apply(state, { kind: "confirmed", revision: REVISION, asOf, stampedAt });
            }
        },
    });
    const { clock, later } = fleet;
    const apply = (state: VmState, event: Parameters<typeof stepKnowledge>[1]): void => {
        state.knowledge = stepKnowledge(state.knowledge, event, clock.now());
    };
    const startReading = ({ listed, membership, news }: SimulatedVm): void => {
        const [, domain, place] = listed.vm.split("-");
        const number = Number(place) * parts.domains + Number(domain);
        const state: VmState = { knowledge: noKnowledge, storeAt: -Infinity, askedAt: -Infinity, number };
        states.set(listed.vm, state);
        news.current = () => ({
            revision: REVISION,
            confirmedMs: state.knowledge.confirmedAt === -Infinity
                ? undefined
                : clock.now() - state.knowledge.confirmedAt,
            hasStore: clock.now() - state.storeAt < STORE_SEEN_MS,
        });
        const read = (): void => {
            const isReader = membership.isDomainReader();
            const dueIn = declarationsDueIn(
                { knowledge: state.knowledge, askedAt: state.askedAt, isReader },
                clock.now(),
            );
            if (dueIn > 0) {
                later(Math.min(dueIn, RECHECK_MS), read);
                return;
            }
            const askedAt = clock.now();
            measured.reads += clock.now() > SETTLED_MS ? 1 : 0;
            if (parts.isTurnedAway(number, clock.now())) {
                later(RETRY_MS, read);
                return;
            }
            const isFirst = state.knowledge.configuration === undefined;
            const waitMs = isReader && !isFirst ? readerWaitMs(membership.newsEveryMs()) : 0;
            later(CALL_MS + waitMs, () => {
                state.storeAt = clock.now();
                state.askedAt = askedAt;
                apply(state, { kind: "configuration", configuration: routingOf(REVISION, []) });
                apply(state, { kind: "confirmed", revision: REVISION, asOf: askedAt, stampedAt: askedAt });
                read();
            });
        };
        read();
    };
    const measure = (): void => {
        if (clock.now() > SETTLED_MS) {
            states.forEach(({ knowledge, number }) => {
                const ageMs = clock.now() - knowledge.confirmedAt;
                const key = parts.isTurnedAway(number, clock.now()) ? "oldestTurnedAwayMs" : "oldestMs";
                measured[key] = Math.max(measured[key], ageMs);
            });
        }
        later(RECHECK_MS, measure);
    };
    measure();
    fleet.runUntil(parts.forMs);
    const { oldestMs, oldestTurnedAwayMs, reads } = measured;
    return {
        oldestMs,
        oldestTurnedAwayMs,
        readsPerSecond: reads * 1_000 / (parts.forMs - SETTLED_MS),
    };
}
