import type { Millis, VmId } from "@azureshunt/core";

import { declarationsDueIn } from "../../knowledge/declarationsDueIn.js";
import type { DeclaredState } from "../../knowledge/DeclaredState.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { readerWaitMs } from "../../knowledge/readerWaitMs.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
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
    readonly isRefused: (vm: number, now: Millis) => boolean;
};

/** What was measured after the VMs had settled. */
type SimulationResult = {
    /** Maximum age of the configuration on any VM that the store does not refuse. */
    readonly oldestMs: Millis;
    /** The same on any VM that the store refuses. */
    readonly oldestRefusedMs: Millis;
    readonly readsPerSecond: number;
};

type SimulatedVm = ReturnType<ReturnType<typeof relayFleet>["vm"]>;
type VmState = { declaredState: DeclaredState; storeAt: Millis; requestedAt: Millis; readonly number: number; };

const SETTLED_MS = 6_000;
/** Time after which the router checks again whether a read is due. */
const RECHECK_MS = 250;
const CALL_MS = 10;
const RETRY_MS = 250;
const STORE_SEEN_MS = 3_300;
const REVISION = 1;

/** Runs VMs in virtual time that read declarations in rotation and confirm them to each other; none is new. */
export function simulateFreshness(parts: SimulationParts): SimulationResult {
    const measured = { oldestMs: 0, oldestRefusedMs: 0, reads: 0 };
    const states = new Map<VmId, VmState>();

    const fleet = relayFleet({
        domains: parts.domains,
        vmsPerDomain: parts.vms / parts.domains,
        random: parts.random,
        loss: parts.loss,
        onStart: vm => startReading(vm),
        onReceived: (vm, { beacon, sentAfter, stampedAt }) => {
            const state = states.get(vm);
            if (state !== undefined && beacon.confirmedMs !== undefined) {
                const asOf = sentAfter - beacon.confirmedMs;
                apply(state, { kind: "confirmed", revision: REVISION, asOf, stampedAt });
            }
        },
    });
    const { clock, schedule } = fleet;
    const apply = (state: VmState, event: Parameters<typeof stepDeclaredState>[1]): void => {
        state.declaredState = stepDeclaredState(state.declaredState, event, clock.now());
    };
    const startReading = ({ listed, membership, localState }: SimulatedVm): void => {
        const [, domain, place] = listed.vm.split("-");
        const number = Number(place) * parts.domains + Number(domain);
        const state: VmState = {
            declaredState: initialDeclaredState,
            storeAt: -Infinity,
            requestedAt: -Infinity,
            number,
        };
        states.set(listed.vm, state);
        localState.current = () => ({
            revision: REVISION,
            confirmedMs: state.declaredState.confirmedAt === -Infinity
                ? undefined
                : clock.now() - state.declaredState.confirmedAt,
            hasStore: clock.now() - state.storeAt < STORE_SEEN_MS,
        });
        const read = (): void => {
            const isReader = membership.isDomainReader();
            const dueIn = declarationsDueIn(
                { declaredState: state.declaredState, requestedAt: state.requestedAt, isReader },
                clock.now(),
            );
            if (dueIn > 0) {
                schedule(Math.min(dueIn, RECHECK_MS), read);
                return;
            }
            const requestedAt = clock.now();
            measured.reads += clock.now() > SETTLED_MS ? 1 : 0;
            if (parts.isRefused(number, clock.now())) {
                schedule(RETRY_MS, read);
                return;
            }
            const isFirst = state.declaredState.configuration === undefined;
            const waitMs = isReader && !isFirst ? readerWaitMs(membership.beaconIntervalMs()) : 0;
            schedule(CALL_MS + waitMs, () => {
                state.storeAt = clock.now();
                state.requestedAt = requestedAt;
                apply(state, { kind: "configuration", configuration: routingOf(REVISION, []) });
                apply(state, { kind: "confirmed", revision: REVISION, asOf: requestedAt, stampedAt: requestedAt });
                read();
            });
        };
        read();
    };
    const measure = (): void => {
        if (clock.now() > SETTLED_MS) {
            states.forEach(({ declaredState, number }) => {
                const ageMs = clock.now() - declaredState.confirmedAt;
                const key = parts.isRefused(number, clock.now()) ? "oldestRefusedMs" : "oldestMs";
                measured[key] = Math.max(measured[key], ageMs);
            });
        }
        schedule(RECHECK_MS, measure);
    };
    measure();
    fleet.runUntil(parts.forMs);
    const { oldestMs, oldestRefusedMs, reads } = measured;
    return {
        oldestMs,
        oldestRefusedMs,
        readsPerSecond: reads * 1_000 / (parts.forMs - SETTLED_MS),
    };
}
