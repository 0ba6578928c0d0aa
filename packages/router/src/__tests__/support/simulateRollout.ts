import type { EndpointName, Incarnation, Millis, ServiceName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import { Left, Right } from "purify-ts";

import type { RouteName } from "../../configuration/RouteName.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { createRollouts } from "../../rollout/createRollouts.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { entryOf } from "./entryOf.js";
import { silentLogger } from "./silentLogger.js";

type Rollouts = ReturnType<typeof createRollouts>;

/** What an endpoint of the new version does with a request. */
type Behaviour = "good" | "fails" | "fails-later" | "fails-under-load" | "fails-on-one-route" | "slow" | "absent";
type Fault =
    | "none"
    | "leader-killed"
    | "leader-frozen"
    | "vm-cut"
    | "others-restarted"
    | "store-away"
    | "writes-late"
    | "endpoint-crashes";

type RolloutRun = {
    readonly behaviour: Behaviour;
    readonly fault: Fault;
    readonly random: () => number;
    readonly durationMs: Millis;
    /** Mean time between two requests of the whole fleet. */
    readonly arrivalMs: Millis;
};

type RolloutResult = {
    /** Status in the store when the duration has ended, and at the end of the play. */
    readonly status: string | undefined;
    readonly lastStatus: string | undefined;
    /** Requests to the service until then, and those of them that the new version got. */
    readonly requests: number;
    readonly exposed: number;
    /** Requests sent to the new version later than the bound after its 50th bad answer. */
    readonly tooLate: number;
    /** Requests that may run only once and went to the new version while its trial was in progress. */
    readonly onceInTrial: number;
};

const SERVICE = "desk" as ServiceName;
const VERSION = "v2";
const VMS = 12;
const ROUTES = ["r1", "r2", "r3"].map(name => name as RouteName);
/** Requests of this route may run only once. */
const ONCE_ROUTE = "r3" as RouteName;
const GOSSIP_MS = 300;
const MAX_GOSSIP_DELAY_MS = 900;
/** Urgent state goes out at once and takes three hops. */
const MIN_GOSSIP_GAP_MS = 40;
const MAX_URGENT_DELAY_MS = 300;
/** Time after the loss of a leader until another VM holds its lease. */
const TAKEOVER_MS = 5_000;
const ROLLBACK_MS = 5_000;
const BAD_ANSWERS = 50;
const TICK_MS = 100;
const USUAL_FAILURES = 0.04;
const BAD_FAILURES = 0.35;
const OUTAGE_MS = 4_000;
/** Bounds of the time after which the store carries out a write whose answer is lost. */
const MIN_LATE_MS = 1_000;
const MAX_LATE_MS = 6_000;
/** Spreads the writes over that time. */
const LATE_STEP = 7;
/** Time that is played after the deadline; all late writes have been carried out then. */
const AFTER_MS = 8_000;
const LOAD_WINDOW_MS = 1_000;

/** Plays one rollout in virtual time: VMs with the router's own rollouts, gossip and a store with delays, and faults. */
export async function simulateRollout(run: RolloutRun): Promise<RolloutResult> {
    const { behaviour, fault, random, durationMs } = run;
    const { clock, schedule, runUntil } = createVirtualTime();
    const endpoints = [1, 2, 3, 4].flatMap(i => [
        entryOf(`old-${i}`, { service: SERVICE, softwareVersion: "v1" }),
        ...(behaviour === "absent" ? [] : [entryOf(`new-${i}`, { service: SERVICE, softwareVersion: VERSION })]),
    ]);
    // A late write of the first status matters most, so these begin with the order.
    const faultAt = fault === "writes-late" ? 0 : 1_000 + random() * (durationMs * 0.75);
    const isFaulty = (): boolean => clock.now() >= faultAt && clock.now() < faultAt + OUTAGE_MS;
    const written: { readonly key: string; readonly value: Buffer; readonly offset: number; }[] = [];
    const result = { requests: 0, exposed: 0, tooLate: 0, onceInTrial: 0, bad: 0, lastBadAt: Infinity };
    const lastSent = new Map<EndpointName, number[]>();

    const store = {
        newest: () =>
            Promise.resolve(
                fault === "store-away" && isFaulty()
                    ? Left({ kind: "unreachable" as const })
                    : Right({ records: written.slice(-1), end: written.length }),
            ),
        put: (_: string, key: string, value: Buffer, at?: number) => {
            if (fault === "store-away" && isFaulty()) {
                return Promise.resolve(Left({ kind: "unreachable" as const }));
            }
            const carryOut = (): boolean => {
                const isApplied = at === undefined || at === written.length;
                written.push(...(isApplied ? [{ key, value, offset: written.length }] : []));
                return isApplied;
            };
            if (fault === "writes-late" && isFaulty()) {
                // Not drawn, so that the requests are those of the play without faults.
                schedule(MIN_LATE_MS + (clock.now() * LATE_STEP) % (MAX_LATE_MS - MIN_LATE_MS), carryOut);
                return Promise.resolve(Left({ kind: "lost" as const }));
            }
            return Promise.resolve(carryOut() ? Right(written.length - 1) : Left({ kind: "moved" as const }));
        },
    };
    const wire = {
        statusTopic: "status",
        encodeRolloutStatus: ({ state }: { readonly state: string; }) => ({ key: SERVICE, value: Buffer.from(state) }),
        decodeRolloutStatus: (_: string, value: Buffer) => ({
            service: SERVICE,
            version: VERSION,
            state: value.toString() as "running",
        }),
    };
    const isDown = (vm: number): boolean =>
        vm === 0 &&
        ((fault === "leader-killed" && clock.now() >= faultAt) || (fault === "leader-frozen" && isFaulty()));
    const isCut = (vm: number): boolean => fault === "vm-cut" && vm === VMS - 1 && isFaulty();
    const isLeader = (vm: number): boolean => {
        const isReplaced = (fault === "leader-killed" || fault === "leader-frozen")
            && clock.now() >= faultAt + TAKEOVER_MS;
        return !isDown(vm) && vm === (isReplaced ? 1 : 0);
    };
    const startVm = (vm: number, start: number): Rollouts =>
        createRollouts({
            clock,
            vm: `vm-${vm}` as VmId,
            incarnation: `${vm}-${start}` as Incarnation,
            random,
            store,
            wire,
            exposure: () => 0.1,
            isLeader: () => isLeader(vm),
            endpointsOf: () => endpoints,
            report: report => {
                if (!isCut(vm)) {
                    schedule(
                        2,
                        () =>
                            vms.forEach((other, i) =>
                                isLeader(i) && !isDown(i) ? other.receiveReport(report) : undefined
                            ),
                    );
                }
            },
            sendSoon: () => void schedule(MIN_GOSSIP_GAP_MS, () => gossip(vm, MAX_URGENT_DELAY_MS)),
            logger: silentLogger,
            metrics: createMetrics(),
        });
    const vms: Rollouts[] = Array.from({ length: VMS }, (_, vm) => startVm(vm, 1));

    const answerOf = (entry: EndpointEntry, route: RouteName) => {
        const isNew = entry.softwareVersion === VERSION;
        const recent = (lastSent.get(entry.name) ?? []).filter(at => clock.now() - at < LOAD_WINDOW_MS);
        lastSent.set(entry.name, [...recent, clock.now()]);
        // Of the usual load of an endpoint, which is a fourth of all requests.
        const isLoaded = recent.length > 0.5 * LOAD_WINDOW_MS / run.arrivalMs / 4;
        const isBadNow = isNew && (behaviour === "fails"
            || (behaviour === "fails-later" && clock.now() > durationMs * 0.3)
            || (behaviour === "fails-under-load" && isLoaded)
            || (behaviour === "fails-on-one-route" && route === "r2"));
        const isSlow = isNew && behaviour === "slow" && random() < 0.5;
        const isFailed = random() < (isBadNow ? BAD_FAILURES : USUAL_FAILURES);
        const isCrashed = fault === "endpoint-crashes" && entry.name === "new-1" && isFaulty();
        return {
            isBad: isNew && behaviour !== "good" && (isSlow || (isBadNow && isFailed)),
            tried: {
                route,
                outcome: isCrashed ? "broken" as const : "answered" as const,
                status: isFailed ? 500 : 200,
                slowness: (0.7 + random() * 0.6) * (isSlow ? 6 : 1),
            },
        };
    };
    const send = (): void => {
        const vm = Math.floor(random() * VMS);
        const route = ROUTES[Math.floor(random() * ROUTES.length)] ?? ONCE_ROUTE;
        const rollouts = vms[vm];
        if (rollouts !== undefined && !isDown(vm)) {
            const isOnce = route === ONCE_ROUTE;
            const allowed = rollouts.selectorFor(SERVICE, !isOnce)?.(endpoints) ?? endpoints;
            const entry = allowed[Math.floor(random() * allowed.length)];
            if (entry !== undefined) {
                const isNew = entry.softwareVersion === VERSION;
                const isInTrial = rollouts.rows()[0]?.phase === "canary";
                const isCounted = clock.now() < durationMs;
                result.requests += isCounted ? 1 : 0;
                result.exposed += isNew && isCounted ? 1 : 0;
                result.tooLate += isNew && clock.now() > result.lastBadAt + ROLLBACK_MS ? 1 : 0;
                result.onceInTrial += isNew && isOnce && isInTrial ? 1 : 0;
                const { isBad, tried } = answerOf(entry, route);
                result.bad += isBad ? 1 : 0;
                result.lastBadAt = result.bad === BAD_ANSWERS && isBad ? clock.now() : result.lastBadAt;
                schedule(25, () => rollouts.recordTry(entry, tried));
            }
        }
        schedule(-Math.log(1 - random()) * run.arrivalMs, send);
    };
    const gossip = (vm: number, maxDelayMs: Millis): void => {
        if (!isDown(vm) && !isCut(vm)) {
            const sentAt = clock.now();
            const rows = vms[vm]?.rows() ?? [];
            vms.forEach((other, i) => {
                if (i !== vm) {
                    schedule(
                        random() * maxDelayMs,
                        () => isCut(i) || isDown(i) ? false : other.receiveRows(rows, sentAt),
                    );
                }
            });
        }
    };
    const gossipInRounds = (vm: number): void => {
        gossip(vm, MAX_GOSSIP_DELAY_MS);
        schedule(GOSSIP_MS, () => gossipInRounds(vm));
    };
    const tick = (vm: number): void => {
        if (!isDown(vm)) {
            vms[vm]?.tick();
        }
        schedule(TICK_MS, () => tick(vm));
    };
    vms.forEach((_, vm) => {
        schedule(random() * GOSSIP_MS, () => gossipInRounds(vm));
        schedule(random() * TICK_MS, () => tick(vm));
    });
    vms[2]?.order({ id: 4, service: SERVICE, version: VERSION, durationMs, learnedAt: 0 });
    if (fault === "others-restarted") {
        schedule(faultAt, () => vms.forEach((_, vm) => isLeader(vm) ? undefined : vms.splice(vm, 1, startVm(vm, 2))));
    }
    schedule(0, send);
    // Calls to the store resolve between two steps of virtual time.
    const status = { atDeadline: undefined as string | undefined };
    const newestStatus = (): string | undefined => written.at(-1)?.value.toString();
    for (let end = TICK_MS; end <= durationMs + AFTER_MS; end += TICK_MS) {
        runUntil(end);
        await Promise.resolve();
        await Promise.resolve();
        await Promise.resolve();
        status.atDeadline = end <= durationMs ? newestStatus() : status.atDeadline;
    }
    const { requests, exposed, tooLate, onceInTrial } = result;
    return { status: status.atDeadline, lastStatus: newestStatus(), requests, exposed, tooLate, onceInTrial };
}
