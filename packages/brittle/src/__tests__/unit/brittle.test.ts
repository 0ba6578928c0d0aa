import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { initialBrittle } from "../../initialBrittle.js";
import { isRisky } from "../../isRisky.js";
import { mayTry } from "../../mayTry.js";
import { stepBrittle } from "../../stepBrittle.js";

type Case = {
    readonly name: string;
    readonly vms: number;
    readonly slots: number;
    /** Requests beyond its slots that the endpoint lets wait, at first and from the third second on. */
    readonly waiting: readonly [number, number];
    readonly maxRefusals: number;
    /** Requests a second at all VMs, as a multiple of what the endpoint can serve. */
    readonly overload: number;
    /** Age of what VMs know of each other's requests. */
    readonly lagMs: number;
};

const cases: readonly Case[] = [
    { name: "6 VMs, twice the load", vms: 6, slots: 6, waiting: [6, 6], maxRefusals: 10, overload: 2, lagMs: 200 },
    { name: "6 VMs, room that shrinks", vms: 6, slots: 6, waiting: [12, 1], maxRefusals: 10, overload: 3, lagMs: 200 },
    { name: "6 VMs, few refusals", vms: 6, slots: 6, waiting: [6, 2], maxRefusals: 5, overload: 3, lagMs: 200 },
    { name: "195 VMs, twice the load", vms: 195, slots: 6, waiting: [6, 2], maxRefusals: 10, overload: 2, lagMs: 500 },
    { name: "195 VMs, engines", vms: 195, slots: 64, waiting: [16, 4], maxRefusals: 20, overload: 3, lagMs: 500 },
];

const ENDPOINT = "e" as EndpointName;
const WORK_MS = 60;
const STEP_MS = 5;
const LENGTH_MS = 12_000;
const SECOND_MS = 1_000;
const SEEDS = [1, 2, 3];

const randomOf = (seed: number): () => number => {
    const state = { value: seed };
    return () => {
        state.value = (state.value * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state.value / 2_147_483_648;
    };
};

/** Sends requests at random VMs to one endpoint; returns its refusals by second and how many requests it served. */
const simulate = (given: Case, seed: number, isGuarded: boolean) => {
    const random = randomOf(seed);
    const vms = Array.from({ length: given.vms }, () => ({
        state: stepBrittle(initialBrittle, { kind: "announced", maxRefusals: given.maxRefusals }, 0),
        phase: random(),
        /** Ends of its requests at the endpoint. */
        ends: [] as number[],
    }));
    const running: { vm: number; end: number; }[] = [];
    const history: number[] = [];
    const refused = new Map<number, number>();
    const served = { count: 0 };
    const arrivals = given.overload * given.slots * STEP_MS / WORK_MS;
    const due = { count: 0 };
    for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
        running.splice(0, running.length, ...running.filter(({ end }) => end > now));
        history.push(running.length);
        const known = history[history.length - 1 - Math.ceil(given.lagMs / STEP_MS)] ?? 0;
        for (due.count += arrivals; due.count >= 1; due.count -= 1) {
            const index = Math.floor(random() * given.vms);
            const vm = vms[index];
            if (vm === undefined) {
                continue;
            }
            const ownRunning = running.filter(({ vm: each }) => each === index).length;
            const query = {
                endpoint: ENDPOINT,
                slots: given.slots,
                running: Math.max(ownRunning, known),
                ownRunning,
                vms: given.vms,
                phase: vm.phase,
                random: random(),
            };
            vm.state = stepBrittle(vm.state, { kind: "load", ...query }, now);
            vm.state = stepBrittle(vm.state, { kind: "announced", maxRefusals: given.maxRefusals }, now);
            if (isGuarded && !mayTry(vm.state, query, now)) {
                continue;
            }
            if (isRisky(query)) {
                vm.state = stepBrittle(vm.state, { kind: "risky-try", endpoint: ENDPOINT }, now);
            }
            const waiting = given.waiting[now < 3 * SECOND_MS ? 0 : 1] ?? 0;
            if (running.length >= given.slots + waiting) {
                const second = Math.floor(now / SECOND_MS);
                refused.set(second, (refused.get(second) ?? 0) + 1);
                vm.state = stepBrittle(
                    vm.state,
                    { kind: "refused", endpoint: ENDPOINT, vms: given.vms, random: random() },
                    now,
                );
                continue;
            }
            served.count += 1;
            const ahead = Math.max(0, running.length - given.slots + 1);
            running.push({ vm: index, end: now + WORK_MS * (1 + ahead / given.slots) });
        }
    }
    const falls = [...refused.values()].filter(count => count > given.maxRefusals).length;
    return { falls, servedFraction: served.count / (LENGTH_MS / WORK_MS * given.slots) };
};

// A brittle endpoint that has to refuse too many requests falls over, and its load makes the others fall.
cases.forEach(given => {
    test(`brittle endpoint, ${given.name}: it falls over hardly ever, and keeps serving`, t => {
        const guarded = SEEDS.map(seed => simulate(given, seed, true));
        const unguarded = SEEDS.map(seed => simulate(given, seed, false));
        guarded.forEach(({ falls }) => t.true(falls <= 2));
        guarded.forEach(({ servedFraction }) => t.true(servedFraction > 0.5));
        unguarded.forEach(({ falls }) => t.true(falls > 2));
    });
});

const calm = { endpoint: ENDPOINT, slots: 6, running: 60, ownRunning: 30, vms: 6, phase: 0, random: 0 };

test("brittle endpoint: one that does not say that it is brittle, or no longer, gets all requests", t => {
    const announced = stepBrittle(initialBrittle, { kind: "announced", maxRefusals: 3 }, 0);
    t.true(mayTry(initialBrittle, calm, 0));
    t.false(mayTry(announced, calm, 4_999));
    t.true(mayTry(announced, calm, 5_000));
});
