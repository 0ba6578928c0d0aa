import type { Millis, ModelName, ServiceName } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";

import { createSuspects } from "../../createSuspects.js";
import { partKeysOf } from "../../partKeysOf.js";
import type { SuspectKey } from "../../SuspectKey.js";
import type { SuspectRows } from "../../SuspectRows.js";
import { createEventQueue } from "./createEventQueue.js";

type Suspects = ReturnType<typeof createSuspects>;

type SimulationOptions = {
    readonly seed: number;
    readonly vms: number;
    readonly domains: number;
    readonly engines: number;
    readonly soundPerSecond: number;
    /** Parts of which each sound prompt holds one, behind a root that all share. */
    readonly sharedParts: number;
    /** Crashing requests a second, for each crashing part. */
    readonly crashingPerSecond: number;
    readonly crashingParts: number;
    /** Where the crashing part stands: 0 is first, 1 behind the root, 2 behind the root and a sound part. */
    readonly position: 0 | 1 | 2;
    /** Whether engines send the head of an answer before they crash on it. */
    readonly hasHead?: boolean;
    /** Engines that die by themselves a second. */
    readonly deathsPerSecond: number;
    /** Share of the engines that die at one moment, every `everyMs`. */
    readonly outage?: { readonly share: number; readonly everyMs: Millis; };
    /** VMs that are killed, or cut off from the others for a while, each second. */
    readonly vmFaultsPerSecond: number;
    readonly lengthMs: Millis;
    /** Replaces what a VM does, to weigh other ways. */
    readonly adapt?: (suspects: Suspects, vm: number, inFlight: (part: SuspectKey) => number) => Suspects;
};

type SimulationOutcome = {
    /** Engines that crashed on a crashing part. */
    readonly crashes: number;
    /** Crashing requests sent by VMs in touch later than 3 s after the fifth crash on their part. */
    readonly sentLater: number;
    /** Sound parts that a VM quarantined, and for how long at the most. */
    readonly wrongVerdicts: number;
    readonly longestWrongMs: Millis;
    /** Sound requests that were refused, and that were sent. */
    readonly refused: number;
    readonly sound: number;
    /** Engines that died otherwise. */
    readonly otherDeaths: number;
    /** Bytes of rows that one VM sent, on average. */
    readonly bytesPerVm: number;
};

type Stage = "waiting" | "begun" | "unsettled" | "answering";
type Request = {
    readonly parts: readonly SuspectKey[];
    readonly id: SuspectKey;
    /** Index of the crashing part; undefined if it is sound. */
    readonly crashing: number | undefined;
    readonly tries: number;
};
type Running = { readonly request: Request; readonly vm: Vm; stage: Stage; };
type Engine = { readonly name: string; born: number; isUp: boolean; running: Set<Running>; };
type Vm = {
    readonly index: number;
    readonly domain: number;
    incarnation: number;
    isUp: boolean;
    isCutOff: boolean;
    disturbedAt: Millis;
    suspects: Suspects;
    sendAllowedAt: Millis;
    isSendDue: boolean;
    bytes: number;
};

const RELAYS = 2;
const STABLE_MS = 3_000;
const RESTART_MS = 3_500;
/** Time from the head of an answer to its first event. */
const HEAD_LEAD_MS = 1;
const SETTLED_MS = 300;
const RETRY_PAUSE_MS = 250;
const MAX_TRIES = 2;
const JUDGED_CRASHES = 5;
/** Lost datagrams, of a hundred. */
const LOSS = 0.02;
const ROW_BYTES = 30;

const keyOf = (id: string): SuspectKey =>
    partKeysOf({
        service: "s" as ServiceName,
        model: "m" as ModelName,
        parts: [{ id }, { id: "own" }],
    })[0] as SuspectKey;

const rowsIn = (rows: SuspectRows): number =>
    rows.deaths.length + rows.suspectParts.length + rows.answeredParts.length + rows.quarantined.length;

/** Runs the suspects of a fleet in virtual time, while engines crash on prompt parts and by chance. */
export function simulateCrashes(options: SimulationOptions): SimulationOutcome {
    const queue = createEventQueue();
    const { now, schedule } = queue;
    const random = seededRandom(options.seed);
    const counts = { crashes: 0, sentLater: 0, refused: 0, sound: 0, otherDeaths: 0, requests: 0, wrongVerdicts: 0 };
    const wrong = { longestMs: 0, since: new Map<string, Millis>() };
    const crashTimes = Array.from({ length: options.crashingParts }, (): Millis[] => []);
    const crashingKeys = crashTimes.map((_, i) => keyOf(`crashing-${i}`));
    const root = keyOf("root");
    const shared = Array.from({ length: options.sharedParts }, (_, i) => keyOf(`shared-${i}`));
    const soundKeys = new Set([root, ...shared]);
    const engines = Array.from(
        { length: options.engines },
        (_, i): Engine => ({ name: `e${i}`, born: 0, isUp: true, running: new Set() }),
    );
    const inFlight = (vm: Vm) => (part: SuspectKey): number =>
        engines.flatMap(({ running }) => [...running])
            .filter(each => each.vm === vm && each.stage !== "answering" && each.request.parts.includes(part)).length;

    const endWrong = (name: string): void => {
        const since = wrong.since.get(name);
        if (since !== undefined) {
            wrong.longestMs = Math.max(wrong.longestMs, now() - since);
            wrong.since.delete(name);
        }
    };
    const createVmSuspects = (vm: Vm): Suspects => {
        const nameOf = (key: SuspectKey): string => `${vm.index}/${vm.incarnation}/${key}`;
        const suspects = createSuspects({
            clock: { now, epoch: now },
            isRelay: () => isRelay(vm),
            isProber: () => false,
            onUrgent: () => requestSend(vm),
            onQuarantined: key => {
                if (soundKeys.has(key)) {
                    counts.wrongVerdicts += 1;
                    wrong.since.set(nameOf(key), now());
                }
            },
            onReleased: key => endWrong(nameOf(key)),
        });
        return options.adapt?.(suspects, vm.index, inFlight(vm)) ?? suspects;
    };
    const vms = Array.from({ length: options.vms }, (_, index): Vm => ({
        index,
        domain: index % options.domains,
        incarnation: 0,
        isUp: true,
        isCutOff: false,
        disturbedAt: -Infinity,
        suspects: undefined as unknown as Suspects,
        sendAllowedAt: 0,
        isSendDue: false,
        bytes: 0,
    }));
    const relaysOf = (domain: number): readonly Vm[] =>
        vms.filter(vm => vm.domain === domain && vm.isUp && !vm.isCutOff).slice(0, RELAYS);
    const isRelay = (vm: Vm): boolean => relaysOf(vm.domain).includes(vm);
    const targetsOf = (vm: Vm): readonly Vm[] => {
        const relays = relaysOf(vm.domain);
        const others = Array.from({ length: options.domains }, (_, domain) => domain)
            .filter(domain => domain !== vm.domain).flatMap(relaysOf);
        const leaves = vms.filter(each => each.domain === vm.domain && each.isUp && !relays.includes(each));
        return [...relays, ...(relays.includes(vm) ? [...others, ...leaves] : [])].filter(each => each !== vm);
    };
    const send = (vm: Vm): void => {
        vm.isSendDue = false;
        if (!vm.isUp || vm.isCutOff) {
            return;
        }
        const rows = vm.suspects.rows();
        const targets = targetsOf(vm);
        vm.sendAllowedAt = now() + Math.max(40, 4 * targets.length);
        if (rowsIn(rows) === 0) {
            return;
        }
        vm.bytes += targets.length * rowsIn(rows) * ROW_BYTES;
        targets.filter(() => !random.chance(LOSS)).forEach(target => {
            schedule(random.between(0.5, 4), () => {
                if (target.isUp && !target.isCutOff) {
                    target.suspects.receive(rows);
                }
            });
        });
    };
    const requestSend = (vm: Vm): void => {
        if (!vm.isSendDue) {
            vm.isSendDue = true;
            schedule(Math.max(0, vm.sendAllowedAt - now()), () => send(vm));
        }
    };
    const startVm = (vm: Vm): void => {
        vm.incarnation += 1;
        vm.suspects = createVmSuspects(vm);
        vm.isUp = true;
    };
    vms.forEach(startVm);
    /** Regular beacons; a VM of a large fleet sends urgent state as often. */
    const beat = (vm: Vm): void => {
        send(vm);
        vm.suspects.tick();
        schedule(Math.max(200, vm.sendAllowedAt - now()), () => beat(vm));
    };
    vms.forEach(vm => schedule(random.between(0, 200), () => beat(vm)));

    const serve = (vm: Vm, request: Request): void => {
        if (!vm.isUp) {
            return;
        }
        const { incarnation } = vm;
        const isVmGone = (): boolean => vm.incarnation !== incarnation || !vm.isUp;
        if (!vm.suspects.admit([request.id, ...request.parts])) {
            counts.refused += request.crashing === undefined ? 1 : 0;
            return;
        }
        const up = engines.filter(({ isUp }) => isUp);
        const choice = [random.pick(up), random.pick(up)].flatMap(each => each ?? []);
        const engine = choice.toSorted((a, b) => a.running.size - b.running.size)[0];
        if (engine === undefined) {
            return;
        }
        const fifth = request.crashing === undefined
            ? undefined
            : crashTimes[request.crashing]?.[JUDGED_CRASHES - 1];
        if (fifth !== undefined && now() > fifth + STABLE_MS && now() - vm.disturbedAt > STABLE_MS) {
            counts.sentLater += 1;
        }
        const running: Running = { request, vm, stage: "waiting" };
        const { born } = engine;
        const isOver = (): boolean => !engine.isUp || engine.born !== born;
        engine.running.add(running);
        schedule(random.between(30, 200), () => {
            if (isOver()) {
                return;
            }
            if (request.crashing !== undefined) {
                running.stage = options.hasHead === false ? "waiting" : "begun";
                schedule(random.between(40, 125), () => {
                    if (!isOver()) {
                        counts.crashes += 1;
                        crashTimes[request.crashing ?? 0]?.push(now());
                        die(engine);
                    }
                });
                return;
            }
            running.stage = "begun";
            schedule(HEAD_LEAD_MS, () => {
                running.stage = running.stage === "begun" ? "unsettled" : running.stage;
            });
            const answerMs = random.between(80, 1_500);
            schedule(Math.min(answerMs, SETTLED_MS), () => {
                if (!isOver()) {
                    running.stage = "answering";
                    if (!isVmGone()) {
                        vm.suspects.recordAnswered(request.parts);
                    }
                }
            });
            schedule(answerMs, () => engine.running.delete(running));
        });
    };
    const reportDeath = ({ request, vm, stage }: Running, death: string): void => {
        const { incarnation } = vm;
        const isGone = (): boolean => !vm.isUp || vm.incarnation !== incarnation;
        if (isGone()) {
            return;
        }
        const isDoubtful = stage !== "answering" && vm.suspects.areDoubtful(request.parts);
        vm.suspects.recordDeath(death, [
            { key: request.id, stage: "request" },
            ...(stage === "answering" ? [] : request.parts).map(key => ({
                key,
                stage: stage === "begun" ? "begun" as const : "unsettled" as const,
            })),
        ]);
        const tryAgain = (): void => {
            if (!isGone() && request.tries < MAX_TRIES && (!isDoubtful || vm.suspects.deathsOf(request.parts) <= 1)) {
                serve(vm, { ...request, tries: request.tries + 1 });
            }
        };
        schedule(
            stage === "begun" && isDoubtful && vm.suspects.isSuspect(request.parts) ? RETRY_PAUSE_MS : 0,
            tryAgain,
        );
    };
    const die = (engine: Engine): void => {
        const death = `${engine.name}/${engine.born}`;
        const lost = [...engine.running];
        engine.isUp = false;
        engine.running = new Set();
        const checked = new Map<number, Millis>();
        lost.forEach(running => {
            const delayMs = checked.get(running.vm.index) ?? random.between(14, 53);
            checked.set(running.vm.index, delayMs);
            schedule(delayMs, () => reportDeath(running, death));
        });
        schedule(RESTART_MS, () => {
            engine.born += 1;
            engine.isUp = true;
        });
    };
    const dieOtherwise = (engine: Engine | undefined): void => {
        if (engine?.isUp === true) {
            counts.otherDeaths += 1;
            die(engine);
        }
    };
    const disturbVm = (vm: Vm | undefined): void => {
        if (vm === undefined || !vm.isUp || vm.isCutOff) {
            return;
        }
        const isKill = random.chance(0.5);
        vm.isUp = !isKill;
        vm.isCutOff = !isKill;
        vm.disturbedAt = Infinity;
        schedule(random.between(300, 4_000), () => {
            vm.isCutOff = false;
            vm.disturbedAt = now();
            if (isKill) {
                startVm(vm);
            }
        });
    };
    const repeat = (perSecond: number, run: () => void): void => {
        const next = (): void =>
            schedule(-Math.log(1 - random.next()) * 1_000 / perSecond, () => {
                run();
                next();
            });
        if (perSecond > 0) {
            next();
        }
    };
    const serveNew = (parts: readonly SuspectKey[], crashing: number | undefined): void => {
        const vm = random.pick(vms.filter(({ isUp }) => isUp));
        counts.requests += 1;
        counts.sound += crashing === undefined ? 1 : 0;
        if (vm !== undefined) {
            serve(vm, { parts, id: `request-${counts.requests}` as SuspectKey, crashing, tries: 1 });
        }
    };
    /** A few parts are asked for much more often than most. */
    const anyShared = (): SuspectKey => shared[Math.floor(shared.length * random.next() ** 2)] ?? root;
    const crashingPrompt = (i: number): readonly SuspectKey[] => {
        const key = crashingKeys[i] as SuspectKey;
        return [[key, anyShared()], [root, key], [root, anyShared(), key]][options.position] ?? [key];
    };
    repeat(options.soundPerSecond, () => serveNew([root, anyShared()], undefined));
    schedule(
        2_000,
        () => crashingKeys.forEach((_, i) => repeat(options.crashingPerSecond, () => serveNew(crashingPrompt(i), i))),
    );
    repeat(options.deathsPerSecond, () => dieOtherwise(random.pick(engines)));
    repeat(options.vmFaultsPerSecond, () => disturbVm(random.pick(vms)));
    const { outage } = options;
    repeat(
        outage === undefined ? 0 : 1_000 / outage.everyMs,
        () => engines.filter(() => random.chance(outage?.share ?? 0)).forEach(dieOtherwise),
    );
    queue.runUntil(options.lengthMs);
    [...wrong.since.keys()].forEach(endWrong);
    return {
        crashes: counts.crashes,
        sentLater: counts.sentLater,
        wrongVerdicts: counts.wrongVerdicts,
        longestWrongMs: Math.round(wrong.longestMs),
        refused: counts.refused,
        sound: counts.sound,
        otherDeaths: counts.otherDeaths,
        bytesPerVm: Math.round(vms.reduce((sum, { bytes }) => sum + bytes, 0) / vms.length),
    };
}
