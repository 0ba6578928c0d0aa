import type { Millis } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";

import type { LimitOutcome } from "./LimitOutcome.js";
import type { LimitScenario } from "./LimitScenario.js";
import type { Placer } from "./Placer.js";
import type { PlacerParts } from "./PlacerParts.js";

type Vm = {
    placer: Placer;
    isUp: boolean;
    learnedAt: Millis;
    published: readonly number[];
    publishedAt: Millis;
    excusedUntil: Millis;
};

const TICK_MS: Millis = 20;
/** Time between two sends of a VM's load. */
const SEND_MS: Millis = 200;
const EXPIRY_MS: Millis = 1_500;
const GONE_MS: Millis = 8_000;
/** From a limit's first answer until all VMs have received it. */
const SPREAD_MS: Millis = 300;
const RESTART_MS: Millis = 1_000;
const STABLE_MS: Millis = 3_000;
const WINDOW_MS: Millis = 4_000;
/** A VM that has learned of a limit is bound by it this much later. */
const TOLD_MS: Millis = 500;
const FEW_VMS = 9;
const MS_PER_SECOND = 1_000;
const HOLDER_DOWN_MS: Millis = 2_000;
const USED_FRACTION = 0.9;

const sumOf = (lists: readonly (readonly number[])[]): readonly number[] =>
    lists.reduce(
        (sum, list) =>
            Array.from({ length: Math.max(sum.length, list.length) }, (_, i) => (sum[i] ?? 0) + (list[i] ?? 0)),
        [] as readonly number[],
    );

/** Runs a fleet in virtual time; before time 0 it runs for 5 s without limits. */
export function simulateLimits(scenario: LimitScenario): LimitOutcome {
    const { vms: count, failureDomains, endpoints, limited, durationMs } = scenario;
    const random = seededRandom(scenario.seed);
    const indices = Array.from({ length: count }, (_, i) => i);
    const domainOf = (vm: number): number => vm % failureDomains;
    const arrivals = Array.from({ length: limited }, () => [] as { at: Millis; limit: number; }[]);
    const counts = { asks: 0, refused: 0, judged: 0, used: 0, room: 0 };
    const holders = new Map<number, { tokens: number; at: Millis; downUntil: Millis; }>();
    const isCut = (vm: number, now: Millis): boolean =>
        scenario.cut !== undefined && now >= scenario.cut.from && now < scenario.cut.to &&
        vm >= count - scenario.cut.count;
    const askHolder = (vm: number) => (endpoint: number, now: Millis): boolean => {
        counts.asks += 1;
        const holder = holders.get(endpoint) ?? { tokens: 0, at: now, downUntil: -Infinity };
        const rate = USED_FRACTION * scenario.limitAt(now);
        holder.tokens = Math.min(1 + rate / 2, holder.tokens + rate * (now - holder.at) / MS_PER_SECOND);
        holder.at = now;
        holders.set(endpoint, holder);
        if (isCut(vm, now) || now < holder.downUntil || holder.tokens < 1) {
            return false;
        }
        holder.tokens -= 1;
        return true;
    };
    const countSilent = (vm: number, now: Millis): number =>
        vms.filter((other, i) => i !== vm && (isCut(i, now) || isCut(vm, now) || now - other.publishedAt >= EXPIRY_MS))
            .length;
    /** VMs that are silent to those that are not cut off, counted again with each send. */
    const silent = { at: -Infinity, count: 0 };
    const isAlone = (vm: number): boolean => isCut(vm, clock.now) && clock.now - (scenario.cut?.from ?? 0) > GONE_MS;
    const partsOf = (vm: number): PlacerParts => ({
        vms: () => isAlone(vm) ? 1 : count,
        silentVms: () => {
            if (isCut(vm, clock.now)) {
                return isAlone(vm) ? 0 : countSilent(vm, clock.now);
            }
            if (clock.now - silent.at >= SEND_MS) {
                silent.at = clock.now;
                silent.count = countSilent(vm, clock.now);
            }
            return silent.count;
        },
        random: random.next,
        askHolder: askHolder(vm),
    });
    const clock = { now: -5_000 };
    const newVm = (vm: number): Vm => ({
        placer: scenario.createPlacer(partsOf(vm)),
        isUp: true,
        learnedAt: Infinity,
        published: [],
        publishedAt: -Infinity,
        excusedUntil: -Infinity,
    });
    const vms: Vm[] = indices.map(newVm);
    const sendPhase = indices.map(() => random.between(0, SEND_MS));
    const announced = { at: Infinity, limit: scenario.limitAt(0) };
    const restarts: { at: Millis; vm: number; }[] = [];

    const learn = (vm: Vm, now: Millis): void => {
        const limit = scenario.limitAt(now);
        Array.from({ length: limited }, (_, endpoint) => vm.placer.learn(endpoint, limit, now));
        vm.learnedAt = Math.min(vm.learnedAt, now);
        announced.at = Math.min(announced.at, now);
    };
    const domainSums = { sent: new Map<number, readonly number[]>(), fleet: [] as readonly number[] };
    /** Sends the load: to all VMs of a small fleet, by relays in a large one, so that it is up to three sends old. */
    const exchange = (now: Millis): void => {
        indices.forEach(i => {
            const vm = vms[i] as Vm;
            const isDue =
                Math.floor((now + sendPhase[i]!) / SEND_MS) !== Math.floor((now - TICK_MS + sendPhase[i]!) / SEND_MS);
            if (vm.isUp && isDue && !isCut(i, now)) {
                vm.published = vm.placer.published(now);
                vm.publishedAt = now;
            }
        });
        if (Math.floor(now / SEND_MS) === Math.floor((now - TICK_MS) / SEND_MS)) {
            return;
        }
        const fresh = indices.filter(i => now - (vms[i] as Vm).publishedAt < EXPIRY_MS);
        const before = domainSums.fleet;
        domainSums.fleet = sumOf([...domainSums.sent.values()]);
        domainSums.sent = new Map(
            Array.from(
                { length: failureDomains },
                (_, domain) =>
                    [
                        domain,
                        sumOf(fresh.filter(i => domainOf(i) === domain).map(i => (vms[i] as Vm).published)),
                    ] as const,
            ),
        );
        const direct = sumOf(fresh.map(i => (vms[i] as Vm).published));
        indices.forEach(i => {
            const vm = vms[i] as Vm;
            const seen = count <= FEW_VMS ? direct : before;
            const others = sumOf([seen, vm.published.map(value => -value)]).map(value => Math.max(0, value));
            vm.placer.receive(isCut(i, now) ? [] : others, now);
        });
    };
    const fail = (now: Millis): void => {
        (scenario.kills ?? []).filter(({ at }) => at <= now && at > now - TICK_MS).forEach(kill => {
            indices.slice(0, kill.count).forEach(i => {
                (vms[i] as Vm).isUp = false;
                restarts.push({ at: now + RESTART_MS, vm: i });
            });
            // The holder of an endpoint is any VM.
            holders.forEach(holder => {
                if (random.chance(kill.count / count)) {
                    holder.downUntil = now + HOLDER_DOWN_MS;
                    holder.tokens = 0;
                }
            });
        });
        restarts.filter(({ at }) => at <= now && at > now - TICK_MS).forEach(({ vm }) => {
            vms[vm] = { ...newVm(vm), excusedUntil: now + STABLE_MS };
        });
    };
    const spread = (now: Millis): void => {
        const limit = scenario.limitAt(now);
        const hasChanged = limit !== announced.limit;
        announced.limit = limit;
        vms.filter(vm => vm.isUp && (hasChanged || (vm.learnedAt === Infinity && announced.at < now)))
            .filter(() => hasChanged || random.chance(TICK_MS / SPREAD_MS))
            .forEach(vm => learn(vm, now));
    };
    const pickVm = (): number => {
        if (random.chance(scenario.firstVmShare ?? 0)) {
            return 0;
        }
        const usable = indices.filter(i => (vms[i] as Vm).isUp && domainOf(i) !== scenario.idleDomain);
        return random.pick(usable) ?? 0;
    };
    const place = (now: Millis): void => {
        const i = pickVm();
        const vm = vms[i] as Vm;
        if (!vm.isUp) {
            return;
        }
        const isJudged = now > STABLE_MS;
        counts.judged += isJudged ? 1 : 0;
        const all = Array.from({ length: limited }, (_, endpoint) => endpoint);
        const turns = vm.placer.turns(all, now);
        const free = endpoints - limited;
        // A VM that does not know of the limits takes any endpoint; one with a turn uses it.
        const isUnaware = vm.learnedAt === Infinity;
        const endpoint = isUnaware
            ? Math.floor(random.between(0, endpoints))
            : random.pick(turns) ?? (free > 0 ? limited : -1);
        if (endpoint < 0) {
            counts.refused += isJudged ? 1 : 0;
        }
        if (endpoint < 0 || endpoint >= limited) {
            return;
        }
        vm.placer.recordSent(endpoint, now);
        if (now < 0) {
            return;
        }
        counts.used += isJudged ? 1 : 0;
        const isBound = vm.learnedAt + TOLD_MS <= now && vm.excusedUntil <= now && !isCut(i, now);
        if (isBound) {
            arrivals[endpoint]?.push({ at: now, limit: scenario.limitAt(now) });
        }
        if (isUnaware) {
            learn(vm, now);
        }
    };
    const due = { requests: 0 };
    while (clock.now < durationMs) {
        clock.now += TICK_MS;
        const { now } = clock;
        fail(now);
        if (now >= 0) {
            spread(now);
        }
        exchange(now);
        due.requests += scenario.offeredAt(now) * TICK_MS / MS_PER_SECOND;
        while (due.requests > random.next()) {
            due.requests -= 1;
            place(now);
        }
        counts.room += now > STABLE_MS ? limited * scenario.limitAt(now) * TICK_MS / MS_PER_SECOND : 0;
    }
    const over = arrivals.flatMap(list =>
        list.map(({ at }, i) => {
            const window = list.slice(0, i + 1).filter(each => each.at > at - WINDOW_MS);
            const most = Math.max(...window.map(({ limit }) => limit));
            return at < STABLE_MS ? -Infinity : window.length - (1.5 * most * WINDOW_MS / MS_PER_SECOND + 5);
        })
    );
    return {
        over: Math.max(-Infinity, ...over),
        used: counts.used / counts.room,
        refused: counts.refused / Math.max(1, counts.judged),
        asks: counts.asks,
    };
}
