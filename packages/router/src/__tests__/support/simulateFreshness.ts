import type { Millis, VmId } from "@azureshunt/core";

import { declarationsDueIn } from "../../knowledge/declarationsDueIn.js";
import type { DeclaredState } from "../../knowledge/DeclaredState.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { readerWaitMs } from "../../knowledge/readerWaitMs.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { listedVm } from "./listedVm.js";
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
    /** Whether the store leaves the reads of a VM that it refuses unanswered. */
    readonly isSilent?: boolean;
    /** Whether beacons arrive between two failure domains, given by number; always if omitted. */
    readonly isOpen?: (from: number, to: number, now: Millis) => boolean;
    /** When VM 0, which reads for the others, is killed; never if omitted. */
    readonly killAt?: Millis;
    /** When the store gets a newer revision, which withdraws a key; never if omitted. */
    readonly withdrawAt?: Millis;
    /** When the store got the revision before that one; the first one if omitted. */
    readonly changeAt?: Millis;
    /** Age of a confirmation up to which keys are accepted. */
    readonly keysMs: Millis;
    /** Time in which a change must be in force. */
    readonly configurationMs: Millis;
    /** Times in which processes do not run; none if omitted. */
    readonly pauses?: Parameters<typeof relayFleet>[0]["pauses"];
};

/** What was measured after the VMs had settled. */
type SimulationResult = {
    /** Maximum age of the configuration on any VM that the store does not refuse, and that has run all the time. */
    readonly oldestMs: Millis;
    /** The same on any VM that the store refuses. */
    readonly oldestRefusedMs: Millis;
    readonly readsPerSecond: number;
    /** Time after the withdrawal at which a VM accepted the key for the last time. */
    readonly acceptedForMs: Millis;
    /** The same on VMs that the store serves at that time, and that have run all the time. */
    readonly acceptedWithStoreForMs: Millis;
};

type SimulatedVm = ReturnType<ReturnType<typeof relayFleet>["vm"]>;
type VmState = {
    declaredState: DeclaredState;
    storeAt: Millis;
    requestedAt: Millis;
    readonly number: number;
    readonly vm: SimulatedVm;
};

const SETTLED_MS = 6_000;
/** Time after which the router checks again whether a read is due. */
const RECHECK_MS = 250;
const CALL_MS = 10;
const RETRY_MS = 250;
/** Time after which a read fails that the store leaves unanswered, in addition to its wait. */
const CALL_LIMIT_MS = 900;
const STORE_SEEN_MS = 3_300;
/** Time between two samples of all VMs. */
const SAMPLE_MS = 50;
const REVISION = 1;

/** The first VM by name, which reads for the others. */
const READER = listedVm(0, 0).vm;

const domainOf = (vm: VmId): number => Number(vm.split("-")[1]);

/** Runs VMs in virtual time that read declarations and confirm them to each other. */
export function simulateFreshness(parts: SimulationParts): SimulationResult {
    const { isOpen = () => true, killAt = Infinity, withdrawAt = Infinity } = parts;
    const changes = [parts.changeAt ?? [], withdrawAt].flat();
    const revisionAt = (at: Millis): number => REVISION + changes.filter(change => change <= at).length;
    const measured = { oldestMs: 0, oldestRefusedMs: 0, reads: 0, acceptedForMs: 0, acceptedWithStoreForMs: 0 };
    const hasRunAlways = ({ listed }: SimulatedVm): boolean =>
        parts.pauses?.some(pause => pause.vm === listed.vm) !== true;
    const states = new Map<VmId, VmState>();
    /** By VM: checks at once whether it has to read. */
    const checks = new Map<VmId, () => void>();

    const fleet = relayFleet({
        domains: parts.domains,
        vmsPerDomain: parts.vms / parts.domains,
        random: parts.random,
        loss: parts.loss,
        isOpen: (from, to) => isOpen(domainOf(from.vm), domainOf(to.vm), wall.now()),
        ...(parts.pauses === undefined ? {} : { pauses: parts.pauses }),
        onResumed: (vm, kind) => {
            const state = states.get(vm.listed.vm);
            if (state !== undefined && kind === "uncounted") {
                apply(state, { kind: "suspended" });
            }
            [state ?? []].flat().forEach(noteAcceptance);
        },
        onCaughtUp: ({ listed }) => [states.get(listed.vm) ?? []].flat().forEach(noteAcceptance),
        onStart: vm => startReading(vm),
        onReceived: (vm, { beacon, sentAfter, stampedAt }) => {
            const state = states.get(vm);
            if (state !== undefined && beacon.confirmedMs !== undefined) {
                const asOf = sentAfter - beacon.confirmedMs;
                const { newestRevision } = state.declaredState;
                apply(state, { kind: "confirmed", revision: beacon.revision, asOf, stampedAt, by: beacon.vm });
                if (state.declaredState.newestRevision > newestRevision) {
                    checks.get(vm)?.();
                }
            }
        },
    });
    const { clock: wall } = fleet;
    const apply = (state: VmState, event: Parameters<typeof stepDeclaredState>[1]): void => {
        state.declaredState = stepDeclaredState(state.declaredState, event, state.vm.clock.now());
    };
    const noteAcceptance = ({ declaredState, number, vm }: VmState): void => {
        const ageMs = vm.clock.now() - declaredState.confirmedAt;
        const isOutdated = (declaredState.configuration?.revision ?? Infinity) < revisionAt(Infinity);
        if (!vm.isPaused() && ageMs <= parts.keysMs && isOutdated) {
            const forMs = wall.now() - withdrawAt;
            measured.acceptedForMs = Math.max(measured.acceptedForMs, forMs);
            if (hasRunAlways(vm) && !parts.isRefused(number, wall.now())) {
                measured.acceptedWithStoreForMs = Math.max(measured.acceptedWithStoreForMs, forMs);
            }
        }
    };
    const startReading = (vm: SimulatedVm): void => {
        const { listed, membership, localState, exchange, clock, schedule } = vm;
        const [, , place] = listed.vm.split("-");
        const number = Number(place) * parts.domains + domainOf(listed.vm);
        const state: VmState = {
            declaredState: initialDeclaredState,
            storeAt: -Infinity,
            requestedAt: -Infinity,
            number,
            vm,
        };
        states.set(listed.vm, state);
        localState.current = () => ({
            revision: state.declaredState.configuration?.revision ?? -1,
            confirmedMs: state.declaredState.confirmedAt === -Infinity
                ? undefined
                : clock.now() - state.declaredState.confirmedAt,
            hasStore: clock.now() - state.storeAt < STORE_SEEN_MS,
        });
        const read = (): void => {
            if (states.get(listed.vm) !== state) {
                return;
            }
            const scope = membership.readerScope();
            const dueIn = declarationsDueIn({ ...state, scope, configurationMs: parts.configurationMs }, clock.now());
            if (dueIn > 0) {
                const cancel = schedule(Math.min(dueIn, RECHECK_MS), read);
                checks.set(listed.vm, () => {
                    if (membership.readerScope() !== "none") {
                        cancel();
                        read();
                    }
                });
                return;
            }
            checks.delete(listed.vm);
            const requestedAt = clock.now();
            const sentAt = wall.now();
            measured.reads += sentAt > SETTLED_MS ? 1 : 0;
            const isFirst = state.declaredState.configuration === undefined;
            const wait = {
                ...state,
                beaconIntervalMs: membership.beaconIntervalMs(),
                isForDomains: membership.reachesOtherDomains(),
                configurationMs: parts.configurationMs,
            };
            const isRetry = parts.isRefused(number, sentAt);
            const until = sentAt + (scope === "fleet" && !isFirst && !isRetry ? readerWaitMs(wait, requestedAt) : 0);
            const answeredAt = Math.min(until, ...changes.filter(change => sentAt < change));
            if (parts.isRefused(number, answeredAt)) {
                const failedAt = parts.isSilent === true ? until + CALL_LIMIT_MS : answeredAt;
                schedule(failedAt - sentAt + RETRY_MS, read);
                return;
            }
            const revision = revisionAt(answeredAt);
            const asOf = requestedAt + (answeredAt === until ? until - sentAt : 0);
            schedule(CALL_MS + answeredAt - sentAt, () => {
                const before = state.declaredState.configuration;
                state.storeAt = clock.now();
                state.requestedAt = requestedAt;
                apply(state, { kind: "configuration", configuration: routingOf(revision, []) });
                apply(state, { kind: "confirmed", revision, asOf, stampedAt: requestedAt, by: "store" });
                if (scope === "fleet" || state.declaredState.configuration !== before) {
                    exchange.sendSoon();
                }
                read();
            });
        };
        read();
    };
    const measure = (): void => {
        if (wall.now() > SETTLED_MS) {
            states.forEach(state => {
                const { declaredState, number, vm } = state;
                const key = parts.isRefused(number, wall.now()) ? "oldestRefusedMs" : "oldestMs";
                if (hasRunAlways(vm)) {
                    measured[key] = Math.max(measured[key], vm.clock.now() - declaredState.confirmedAt);
                }
                noteAcceptance(state);
            });
        }
        fleet.schedule(SAMPLE_MS, measure);
    };
    measure();
    if (killAt < parts.forMs) {
        fleet.schedule(killAt, () => {
            fleet.kill(READER);
            states.delete(READER);
        });
    }
    fleet.runUntil(parts.forMs);
    const { reads, ...ages } = measured;
    return {
        ...ages,
        readsPerSecond: reads * 1_000 / (parts.forMs - SETTLED_MS),
    };
}
