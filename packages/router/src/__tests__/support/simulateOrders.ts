import type { EndpointName, FailureDomain, Millis, ModelName, VmId } from "@azureshunt/core";
import { Left, Right } from "purify-ts";

import { startOrders } from "../../fleet/startOrders.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import type { EndpointWire } from "../../ports/EndpointWire.js";
import type { StorePort } from "../../ports/StorePort.js";
import { createSimulatedEngine } from "./createSimulatedEngine.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { entryOf } from "./entryOf.js";
import { silentLogger } from "./silentLogger.js";

type SimulatedEngine = ReturnType<typeof createSimulatedEngine>;

type OrdersRun = {
    readonly vms: number;
    readonly engines: number;
    readonly endAt: Millis;
    /** When the target versions 2, 3 and so on are set. */
    readonly targetsAt: readonly Millis[];
    /** The same for further models that the engines serve. */
    readonly moreTargetsAt?: Readonly<Record<string, readonly Millis[]>>;
    /** Models that an engine with an index serves; all if omitted. */
    readonly modelsOf?: (engine: number) => readonly string[];
    readonly restarts: readonly { readonly engine: number; readonly at: Millis; readonly downMs: Millis; }[];
    /** Ends a VM's process; another one starts under its name after `downMs`. */
    readonly kills: readonly { readonly vm: number; readonly at: Millis; readonly downMs: Millis; }[];
    /** How long an order that is sent now takes to be carried out, unanswered; undefined if it is answered. */
    readonly lateMs: (now: Millis) => Millis | undefined;
    /** Time until the VMs learn from the registry that an engine has started. */
    readonly registryLagMs: (vm: number) => Millis;
};

type OrdersResult = {
    /** Pairs of orders that one start of an engine accepted, the later one with the lower fence. */
    readonly fencesBack: readonly string[];
    /** Orders that replaced weights by older ones. */
    readonly versionsBack: readonly string[];
    /** Engines that are not on the newest version of one of their models at the end. */
    readonly outdated: number;
    readonly accepted: number;
    /** Orders that engines refused as another one was in progress. */
    readonly conflicts: number;
    /** When all engines were first on the newest versions; `undefined` if they were not. */
    readonly doneAt: Millis | undefined;
};

const MODEL = "model" as ModelName;
const LEASE_MS = 3_000;
const SERVES_FOR_MS = 8_500;
const TICK_MS = 100;
const BEACON_MS = 200;
const STORE_MS = 4;
const STEP_MS = 10;
/** Between the registry entries that an engine writes, and until the VMs have read one. */
const HEARTBEAT_MS = 1_200;
const ENTRY_READ_MS = 300;

const wire = {
    encodeOrder: order => ({ method: "POST", target: "/order", headers: [], body: Buffer.from(JSON.stringify(order)) }),
    reportCall: { method: "GET", target: "/report", headers: [], body: Buffer.alloc(0) },
    decodeReport: body => {
        const report = JSON.parse(body.toString());
        return { ...report, versions: new Map(report.versions) };
    },
} as Partial<EndpointWire> as EndpointWire;

/**
 * Plays VMs that bring engines to target versions, in virtual time: the router's own lease, waves and orders, against
 * engines that lose orders and carry them out late, and start again under their names.
 */
export async function simulateOrders(run: OrdersRun): Promise<OrdersResult> {
    const time = createVirtualTime();
    const { clock } = time;
    const targets = new Map([
        [MODEL, run.targetsAt],
        ...Object.entries(run.moreTargetsAt ?? {}) as [ModelName, readonly Millis[]][],
    ]);
    const answered = <Value>(value: Value): Promise<Value> =>
        new Promise(resolve => void time.schedule(STORE_MS, () => resolve(value)));

    const lease: string[] = [];
    const store = {
        read: (_topic: string, from: number) =>
            answered(Right({
                records: lease.map((vm, offset) => ({ offset, key: "", value: Buffer.from(vm) })).slice(from),
                end: lease.length,
            })),
        appendAt: (_topic: string, at: number, value: Buffer) =>
            answered(undefined).then(() => {
                if (at !== lease.length) {
                    return Left({ kind: "moved" as const });
                }
                lease.push(value.toString());
                return Right(at);
            }),
    } as unknown as StorePort;

    const engines = Array.from({ length: run.engines }, (_, i) => {
        const engine = createSimulatedEngine({
            time,
            models: (run.modelsOf?.(i) ?? [...targets.keys()]) as ModelName[],
            loadMs: 760,
            reportLagMs: 200,
            fateOf: () => {
                const lateMs = run.lateMs(clock.now());
                return lateMs === undefined
                    ? { kind: "answered", delayMs: 0 }
                    : { kind: "lost", delayMs: lateMs };
            },
        });
        return { name: `e${i}` as EndpointName, address: `10.0.0.${i + 1}:80`, engine };
    });
    const engineAt = new Map(engines.map(({ address, engine }) => [address, engine]));
    const entryNow = (name: EndpointName, address: string, engine: SimulatedEngine): ReturnType<typeof entryOf> => {
        const { bornAt, versions } = engine.report();
        return entryOf(name, { address, versions, bornAt: bornAt ?? 0 });
    };

    const startProcess = (vm: VmId, rank: number) => {
        const process = { isAlive: true, declared: initialDeclaredState };
        const endpointTable = createEndpointTable({
            clock,
            failureDomain: "fd" as FailureDomain,
            declaredState: () => process.declared,
            peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
            domainSilentMs: () => 0,
            outdatedLimitMs: () => SERVES_FOR_MS,
            onChange: () => undefined,
            onGone: () => undefined,
        });
        endpointTable.applyRegistryEvent({
            kind: "whole",
            entries: engines.map(({ name, address, engine }) => entryNow(name, address, engine)),
        });
        /** Nothing that a killed process started goes on. */
        const whileAlive = <Value>(value: Promise<Value>): Promise<Value> =>
            new Promise(resolve => void value.then(result => process.isAlive ? resolve(result) : undefined));
        const orders = startOrders({
            clock,
            vm,
            store: {
                ...store,
                read: (...args) => whileAlive(store.read(...args)),
                appendAt: (...args) => whileAlive(store.appendAt(...args)),
            },
            endpointTable,
            calls: {
                call: (address, call) =>
                    whileAlive(engineAt.get(address)?.call(call) ?? Promise.resolve({ kind: "unreached" })),
                schedule: (delayMs, act) => void time.schedule(delayMs, () => process.isAlive ? act() : undefined),
            },
            wire,
            declaredState: () => process.declared,
            logger: silentLogger,
            checkSuspension: () => undefined,
            leaseMs: () => LEASE_MS,
            rank: lastHolder => lastHolder === vm ? 0 : rank + 1,
            servesForMs: () => SERVES_FOR_MS,
            demand: () => 0,
            isLeaseWanted: () => false,
            isCutOff: () => false,
            sendSoon: () => undefined,
        });
        return { process, endpointTable, orders, vm, rank };
    };
    type Process = ReturnType<typeof startProcess>;
    const vms: (Process | undefined)[] = Array.from(
        { length: run.vms },
        (_, i) => startProcess(`vm-${i}` as VmId, i),
    );
    const alive = (): readonly Process[] => vms.filter(each => each !== undefined);
    const declare = (each: Process, model: ModelName, version: number): void => {
        each.process.declared = stepDeclaredState(
            each.process.declared,
            { kind: "weights", model, version },
            clock.now(),
        );
    };

    targets.forEach((targetsAt, model) =>
        targetsAt.forEach((at, i) => time.schedule(at, () => alive().forEach(each => declare(each, model, i + 2))))
    );
    run.restarts.forEach(({ engine: i, at, downMs }) => {
        const { name, address, engine } = engines[i % engines.length] ?? engines[0] as typeof engines[number];
        time.schedule(at, () => {
            engine.restart(downMs);
            vms.forEach((_, vm) =>
                time.schedule(downMs + run.registryLagMs(vm), () => {
                    const changes = [{ name, entry: entryNow(name, address, engine) }];
                    vms[vm]?.endpointTable.applyRegistryEvent({ kind: "changes", changes });
                })
            );
        });
    });
    run.kills.forEach(({ vm: i, at, downMs }) =>
        time.schedule(at, () => {
            const killed = vms[i];
            if (killed === undefined) {
                return;
            }
            killed.process.isAlive = false;
            vms[i] = undefined;
            time.schedule(downMs, () => {
                const started = startProcess(killed.vm, killed.rank);
                vms[i] = started;
                targets.forEach((targetsAt, model) =>
                    declare(started, model, 1 + targetsAt.filter(target => target <= clock.now()).length)
                );
            });
        })
    );

    const sendBeacons = (): void =>
        alive().forEach(from => {
            const { tail } = from.orders.lease();
            alive().filter(to => to !== from).forEach(to => {
                from.endpointTable.ownOrders().forEach(([endpoint, version, ageMs, model]) => {
                    const seenAt = clock.now();
                    const order = { model, version, issuedAt: seenAt - ageMs, seenAt, isOwn: false };
                    to.endpointTable.recordOrder(endpoint, order);
                });
                from.endpointTable.engineVersions().forEach(({ endpoint, weights }) =>
                    to.endpointTable.receiveWeights(endpoint, weights, from.vm)
                );
                if (tail !== undefined) {
                    const { offset, holder, knownSince } = tail;
                    const ageMs = clock.now() - knownSince;
                    to.orders.applyLeaseEvent({ kind: "peer-record", offset, holder, ageMs });
                }
            });
        });
    Array.from({ length: Math.floor(run.endAt / TICK_MS) }).forEach((_, i) =>
        time.schedule(i * TICK_MS, () => alive().forEach(({ orders }) => orders.tick()))
    );
    Array.from({ length: Math.floor(run.endAt / BEACON_MS) }).forEach((_, i) =>
        time.schedule(i * BEACON_MS, sendBeacons)
    );

    Array.from({ length: Math.floor(run.endAt / HEARTBEAT_MS) }).forEach((_, i) =>
        time.schedule(i * HEARTBEAT_MS, () => {
            const changes = engines.filter(({ engine }) => engine.isUp()).map(({ name, address, engine }) => ({
                name,
                entry: entryNow(name, address, engine),
            }));
            time.schedule(
                ENTRY_READ_MS,
                () =>
                    alive().forEach(({ endpointTable }) =>
                        endpointTable.applyRegistryEvent({ kind: "changes", changes })
                    ),
            );
        })
    );

    const isOutdated = (engine: SimulatedEngine): boolean =>
        [...engine.report().versions].some(([model, version]) => version < (targets.get(model)?.length ?? 0) + 1);
    const done = { at: undefined as Millis | undefined };
    await Array.from({ length: Math.floor(run.endAt / STEP_MS) }).reduce<Promise<void>>(
        async (before, _, i) => {
            await before;
            time.runUntil(i * STEP_MS);
            done.at ??= engines.some(({ engine }) => isOutdated(engine)) ? undefined : clock.now();
            // Lets what the timers resolved go on before time does.
            await new Promise(resolve => setImmediate(resolve));
        },
        Promise.resolve(),
    );

    const pairs = engines.flatMap(({ name, engine }) =>
        engine.accepted.flatMap((later, i) =>
            engine.accepted.slice(0, i).filter(({ bornAt }) => bornAt === later.bornAt).map(earlier => ({
                name,
                earlier,
                later,
            }))
        )
    );
    return {
        fencesBack: pairs.filter(({ earlier, later }) => later.fence < earlier.fence).map(({ name, earlier, later }) =>
            `${name}, start ${later.bornAt}: fence ${earlier.fence} at ${earlier.at}, ${later.fence} at ${later.at}`
        ),
        versionsBack: engines.flatMap(({ name, engine }) =>
            engine.accepted.filter(({ version, before }) => version < before).map(({ at, version, before }) =>
                `${name} at ${at}: ${before} to ${version}`
            )
        ),
        outdated: engines.filter(({ engine }) => isOutdated(engine)).length,
        accepted: engines.reduce((sum, { engine }) => sum + engine.accepted.length, 0),
        conflicts: engines.reduce((sum, { engine }) => sum + engine.conflicts(), 0),
        doneAt: done.at,
    };
}
