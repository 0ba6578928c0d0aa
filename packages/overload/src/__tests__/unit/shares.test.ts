import type { OrganisationId } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";
import test from "ava";

import { admits } from "../../admits.js";
import { divideShed } from "../../divideShed.js";
import { initialLoad } from "../../initialLoad.js";
import { initialTicks } from "../../initialTicks.js";
import type { LoadState } from "../../LoadState.js";
import { shareLevel } from "../../shareLevel.js";
import { stepLoad } from "../../stepLoad.js";
import { stepTicks } from "../../stepTicks.js";

const TICK_MS = 100;
const WARM_UP_TICKS = 100;
const TICKS = 600;
const kind = { name: "short", priority: 1, objectiveMs: 2_000 };

type Sender = { readonly organisation: OrganisationId | undefined; readonly perSecond: number; };
type Range = readonly [least: number, most: number];

const others = (count: number, perSecond: number): readonly Sender[] =>
    Array.from({ length: count }, (_, i) => ({ organisation: `o${i}` as OrganisationId, perSecond }));
const heavy = (perSecond: number): Sender => ({ organisation: "heavy" as OrganisationId, perSecond });
const keyless = (perSecond: number): Sender => ({ organisation: undefined, perSecond });

/** Returns what is admitted of all senders, the first and the others while a fixed fraction must be refused. */
const simulate = (senders: readonly Sender[], shedFraction: number) => {
    const random = seededRandom(5).next;
    const counts = senders.map(sender => ({ ...sender, sent: 0, admitted: 0 }));
    const state = { load: initialLoad(), ticks: initialTicks(0), groups: 0 };
    const shed = (load: LoadState): LoadState => {
        const { kinds, priorities } = divideShed([...load.kinds.values()], load.priorities, shedFraction);
        return { ...load, shedFraction, kinds: new Map(kinds.map(each => [each.kind.name, each])), priorities };
    };
    Array.from({ length: WARM_UP_TICKS + TICKS }, (_, tick) => tick).forEach(tick => {
        const arrivals = counts.flatMap(each => {
            const { organisation, perSecond } = each;
            const mean = perSecond * TICK_MS / 1_000;
            const count = Math.floor(mean) + (random() < mean % 1 ? 1 : 0);
            const head = { kind, organisation, waitedMs: 0 };
            const admitted = Array.from({ length: count }).filter(() =>
                admits(state.load, { ...head, draw: random() })
            );
            if (tick >= WARM_UP_TICKS) {
                each.sent += count;
                each.admitted += admitted.length;
            }
            return count > 0 ? [{ kind, organisation, count }] : [];
        });
        state.ticks = stepTicks(state.ticks, TICK_MS, tick * TICK_MS);
        state.load = shed(stepLoad(state.load, { kind: "tick", ticks: state.ticks, arrivals }));
        state.groups = Math.max(state.groups, state.load.priorities.get(kind.priority)?.recents.size ?? 0);
    });
    const shareOf = (of: typeof counts): number =>
        of.reduce((sum, { admitted }) => sum + admitted, 0) / of.reduce((sum, { sent }) => sum + sent, 0);
    const least = Math.min(...counts.map(each => shareOf([each])));
    return { ...state, shares: [counts, counts.slice(0, 1), counts.slice(1)].map(shareOf), least };
};

/** Shares admitted of all requests, of those of the first sender, and of those of the others. */
type Load = readonly [name: string, senders: readonly Sender[], shed: number, ...ranges: readonly Range[]];
const HALF: Range = [0.45, 0.55];
const loads: readonly Load[] = [
    ["one at 6 times its rate among 5", [heavy(60), ...others(4, 10)], 0.4, [0.55, 0.65], [0.28, 0.4], [0.95, 1]],
    ["one at 6 times its rate among 50", [heavy(18), ...others(49, 3)], 0.5, [0.45, 0.6], [0.125, 0.25], [0.53, 0.65]],
    ["all over their share", others(5, 20), 0.5, HALF, HALF, HALF],
    ["one alone", [heavy(50)], 0.5, HALF, HALF],
    ["300, one at 60 times the rate", [heavy(60), ...others(299, 1)], 0.3, [0.65, 0.75], [0.17, 0.3], [0.75, 0.95]],
    ["callers without a key", [keyless(60), ...others(4, 10)], 0.4, [0.55, 0.65], [0.28, 0.4], [0.95, 1]],
    ["100 that send so rarely that most are not known", others(100, 0.3), 0.5, [0.4, 0.65]],
];
// Guards against an organisation that makes the VM refuse requests of others, and against refusing an organisation so
// often that it is served less than a quarter as often as all.
loads.forEach(([name, senders, shed, ...ranges]) => {
    test(`shares: ${name}`, t => {
        const { shares, least, groups } = simulate(senders, shed);
        ranges.forEach(([from, to], i) => {
            const share = shares[i] ?? NaN;
            t.true(share >= from && share <= to, `${i}: ${share}`);
        });
        t.true(least >= (shares[0] ?? 0) / 4, `least ${least}, all ${shares[0]}`);
        t.true(groups <= 257, `${groups} groups`);
    });
});

// Guards against decisions that change for a deployment with one organisation, which has nobody to share with.
test("shares: an organisation that is alone is refused exactly the fraction of its kind", t => {
    const random = seededRandom(3).next;
    const other = { ...kind, name: "plain" };
    const state = { load: initialLoad(), ticks: initialTicks(0) };
    const organisation = "only" as OrganisationId;
    Array.from({ length: 500 }, (_, i) => i).forEach(() => {
        const arrivals = [kind, other].map(of => ({ kind: of, organisation, count: Math.floor(random() * 8) }))
            .filter(({ count }) => count > 0);
        const now = state.ticks.tickAt + TICK_MS + (random() < 0.3 ? random() * 400 : 0);
        state.ticks = stepTicks(state.ticks, TICK_MS, now);
        state.load = stepLoad(state.load, { kind: "tick", ticks: state.ticks, arrivals });
        [kind, other].forEach(of => {
            const { shedFraction, kinds } = state.load;
            const fraction = shedFraction === 0 ? 0 : kinds.get(of.name)?.refusedFraction ?? 0;
            const isAdmitted = (draw: number): boolean =>
                admits(state.load, { kind: of, organisation, waitedMs: 0, draw });
            // The draw at the fraction itself is admitted, the one just below it is not.
            t.is(isAdmitted(fraction), true);
            t.is(isAdmitted(fraction - Number.EPSILON), fraction === 0 || fraction - Number.EPSILON >= 0.95);
        });
    });
});

const levels:
    readonly (readonly [name: string, recents: readonly number[], admitted: number, floor: number, level: number])[] = [
        ["what the small ones leave goes to the large one", [1, 1, 6], 5, 0, 3],
        ["equal shares", [4, 4], 4, 0, 2],
        ["everything is admitted", [1, 3], 4, 0, 3],
        ["the floor of the large one is taken from the others", [2, 8], 3, 0.25, 1],
        ["all at their floors", [2, 8], 2.5, 0.25, 0],
    ];
levels.forEach(([name, recents, admitted, floor, level]) => {
    test(`shareLevel: ${name}`, t => t.is(shareLevel(recents, admitted, floor), level));
});
