import type { Millis, OrganisationId, ServiceName } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";

import { overloadDelayMs } from "../../placement/overloadDelayMs.js";
import { createRequestQueues } from "../../serve/createRequestQueues.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { routingOf } from "./routingOf.js";
import { seededRandom } from "./seededRandom.js";

/** A load on a service, from 2 to 6 s; what is not stated stays the same. */
type WaitingLoad = {
    /** What happens to a request for which no engine has room: refused at once, sent all the same, or let wait. */
    readonly way: "refused" | "sent" | "waits";
    /** Factors of the rate of the most urgent and of the other kind. */
    readonly bursts?: readonly [number, number];
    /** Factor of the rate of one organisation's less urgent requests. */
    readonly organisationFactor?: number;
    readonly beaconMs?: Millis;
    /** When the first VM shuts down. */
    readonly stopAt?: Millis;
    readonly seed?: number;
};
type Job = {
    readonly kind: number;
    readonly organisation: number;
    readonly arrivedAt: Millis;
    readonly isReturn: boolean;
};
type Task = { readonly vm: number; readonly kind: number; readonly onStart: () => void; readonly onEnd: () => void; };

const KINDS = [
    { priority: 0, perSecond: 28, ownMs: 80, objectiveMs: 819, deadlineMs: 15_400 },
    { priority: 2, perSecond: 165, ownMs: 20, objectiveMs: 2_010, deadlineMs: 3_014 },
] as const;
const STEP_MS = 5;
const VMS = 3;
const ENGINES = 6;
const ORGANISATIONS = 8;
const SERVICE = "desk" as ServiceName;
const NEVER_ABORTED = { aborted: false, addEventListener: () => undefined, removeEventListener: () => undefined };

/** Returns per kind, and per organisation of the less urgent kind, how many requests were sent and how they ended. */
export async function simulateWaiting(load: WaitingLoad) {
    const { way, bursts = [1, 1], organisationFactor = 1, beaconMs = 300, stopAt = Infinity, seed = 5 } = load;
    const random = seededRandom(seed);
    const { clock, schedule, runUntil } = createVirtualTime();
    const count = () => ({ sent: 0, inTime: 0, served: 0 });
    const kinds = KINDS.map(count);
    const organisations = Array.from({ length: ORGANISATIONS }, count);
    /** Longest time without a try, as a part of the time to the deadline; requests that waited when their VM stopped. */
    const seen = { heldShare: 0, returns: 0, stoppedWaiting: 0 };
    const engines = Array.from({ length: ENGINES }, () => ({ tasks: [] as Task[], isBusy: false }));
    const workMs = (tasks: readonly Task[]): Millis => tasks.reduce((sum, { kind }) => sum + KINDS[kind]!.ownMs, 0);
    const configuration = routingOf(1, KINDS);
    const vms = Array.from({ length: VMS }, () => ({
        known: engines.map(() => 0),
        queues: createRequestQueues({
            clock,
            schedule,
            configuration: () => configuration,
            placingVms: () => VMS,
            freeSlots: () => engines.filter(({ tasks }) => tasks.length === 0).length,
            metrics: createMetrics(),
        }),
    }));
    /** An engine works on the most urgent request first, one at a time. */
    const work = (engine: typeof engines[number]): void => {
        const task = engine.isBusy ? undefined : engine.tasks.toSorted((a, b) => a.kind - b.kind)[0];
        if (task === undefined) {
            return;
        }
        engine.isBusy = true;
        schedule(KINDS[task.kind]!.ownMs, () => {
            engine.isBusy = false;
            engine.tasks.splice(engine.tasks.indexOf(task), 1);
            task.onEnd();
            work(engine);
        });
        task.onStart();
    };
    const serve = async (job: Job): Promise<void> => {
        const { objectiveMs, deadlineMs, ownMs, priority } = KINDS[job.kind]!;
        const vm = Math.floor(random() * VMS);
        const { known, queues } = vms[vm]!;
        const served = {
            service: SERVICE,
            route: configuration.routes[job.kind]!,
            organisation: { id: String(job.organisation) as OrganisationId },
            arrivedAt: clock.now(),
            deadline: job.arrivedAt + deadlineMs,
            signal: NEVER_ABORTED,
            notes: { add: () => undefined },
        } as unknown as Parameters<typeof queues.wait>[0];
        const hold = (): void => {
            seen.heldShare = Math.max(seen.heldShare, (clock.now() - served.arrivedAt) / deadlineMs);
        };
        const refuse = (): void => {
            const delayMs = Math.min((served.deadline - clock.now()) / 3, Math.max(250, objectiveMs / 5));
            if (!job.isReturn) {
                seen.returns += 1;
                schedule(delayMs, () => void serve({ ...job, isReturn: true }));
            }
        };
        const place = async (ticket: Parameters<typeof queues.wait>[2]): Promise<void> => {
            const costs = engines.map(({ tasks }, i) => workMs(tasks.filter(task => task.vm === vm)) + known[i]!);
            const queueMs = Math.min(...costs);
            const delayMs = way === "sent" ? undefined : overloadDelayMs({
                queueMs,
                startMs: queueMs + ownMs,
                objectiveMs,
                isUrgent: priority === 0,
                waitedMs: ticket === undefined ? 0 : clock.now() - ticket.since,
                isBehind: way === "waits" && ticket === undefined && queues.hasMoreUrgent(served),
            });
            if (delayMs !== undefined) {
                const end = way === "waits" ? await queues.wait(served, { delayMs, ownMs }, ticket) : undefined;
                hold();
                return end?.kind === "released" ? place(end.ticket) : refuse();
            }
            const engine = engines[costs.indexOf(queueMs)]!;
            const endTry = queues.beginTry(served);
            const onStart = (): void => {
                const counted = job.kind === 0 ? [kinds[0]!] : [kinds[1]!, organisations[job.organisation]!];
                const answeredMs = clock.now() + ownMs - job.arrivedAt;
                counted.forEach(each => {
                    each.inTime += answeredMs <= objectiveMs ? 1 : 0;
                    each.served += answeredMs <= deadlineMs ? 1 : 0;
                });
            };
            engine.tasks.push({ vm, kind: job.kind, onStart, onEnd: endTry });
            work(engine);
        };
        await place(undefined);
    };
    const beacon = (vm: number): void => {
        const each = vms[vm]!;
        each.known = engines.map(({ tasks }) => workMs(tasks.filter(task => task.vm !== vm)));
        each.queues.onLoadKnown();
        schedule(beaconMs, () => beacon(vm));
    };
    vms.forEach((_, vm) => schedule(beaconMs * (vm + 1) / VMS, () => beacon(vm)));
    const arrive = (kind: number, organisation: number): void => {
        const isBurst = clock.now() >= 2_000 && clock.now() < 6_000;
        const factor = isBurst ? bursts[kind]! * (kind === 1 && organisation === 0 ? organisationFactor : 1) : 1;
        schedule(-Math.log(1 - random()) * 1_000 * ORGANISATIONS / KINDS[kind]!.perSecond / factor, () => {
            [kinds[kind]!, ...(kind === 1 ? [organisations[organisation]!] : [])].forEach(each => (each.sent += 1));
            void serve({ kind, organisation, arrivedAt: clock.now(), isReturn: false });
            arrive(kind, organisation);
        });
    };
    KINDS.forEach((_, kind) => organisations.forEach((_each, organisation) => arrive(kind, organisation)));
    schedule(stopAt, () => {
        seen.stoppedWaiting = vms[0]!.queues.size();
        vms[0]!.queues.close();
    });
    for (let now = STEP_MS; now < 10_000; now += STEP_MS) {
        runUntil(now);
        // Requests that were released are placed in promise callbacks.
        await Promise.resolve();
        await Promise.resolve();
        await Promise.resolve();
    }
    return { kinds, organisations, ...seen, waiting: vms.map(({ queues }) => queues.size()) };
}
