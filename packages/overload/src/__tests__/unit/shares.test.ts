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
type Served = { readonly sent: number; readonly admitted: number; };

const sendersOf = (count: number, perSecond: number): readonly Sender[] =>
    Array.from({ length: count }, (_, i) => ({ organisation: `o${i}` as OrganisationId, perSecond }));
const heavy = (perSecond: number): Sender => ({ organisation: "heavy" as OrganisationId, perSecond });

/** Returns what is admitted of each sender while a fixed fraction of all requests must be refused. */
const simulate = (senders: readonly Sender[], shedFraction: number) => {
    const random = seededRandom(5).next;
    const served = new Map<string | undefined, Served>();
    const state = { load: initialLoad(), ticks: initialTicks(0), groups: 0 };
    const shed = (load: LoadState): LoadState => {
        const { kinds, priorities } = divideShed([...load.kinds.values()], load.priorities, shedFraction);
        return { ...load, shedFraction, kinds: new Map(kinds.map(each => [each.kind.name, each])), priorities };
    };
    Array.from({ length: WARM_UP_TICKS + TICKS }, (_, tick) => tick).forEach(tick => {
        const arrivals = senders.map(({ organisation, perSecond }) => {
            const mean = perSecond * TICK_MS / 1_000;
            const count = Math.floor(mean) + (random() < mean % 1 ? 1 : 0);
            return { kind, organisation, count };
        }).filter(({ count }) => count > 0);
        arrivals.filter(() => tick >= WARM_UP_TICKS).forEach(({ organisation, count }) => {
            const before = served.get(organisation) ?? { sent: 0, admitted: 0 };
            const admitted = Array.from({ length: count }).filter(() =>
                admits(state.load, { kind, organisation, waitedMs: 0, draw: random() })
            ).length;
            served.set(organisation, { sent: before.sent + count, admitted: before.admitted + admitted });
        });
        state.ticks = stepTicks(state.ticks, TICK_MS, tick * TICK_MS);
        state.load = shed(stepLoad(state.load, { kind: "tick", ticks: state.ticks, arrivals }));
        state.groups = Math.max(state.groups, state.load.priorities.get(kind.priority)?.recents.size ?? 0);
    });
    const shareOf = (of: readonly Served[]): number =>
        of.reduce((sum, { admitted }) => sum + admitted, 0) / of.reduce((sum, { sent }) => sum + sent, 0);
    const each = senders.map(({ organisation }) => ({
        organisation,
        share: shareOf([served.get(organisation) ?? { sent: 0, admitted: 0 }]),
    }));
    const isHeavy = (of: string | undefined): boolean => of === undefined || of === "heavy";
    return {
        groups: state.groups,
        all: shareOf([...served.values()]),
        heavy: shareOf([...served].filter(([of]) => isHeavy(of)).map(([, of]) => of)),
        others: shareOf([...served].filter(([of]) => !isHeavy(of)).map(([, of]) => of)),
        least: Math.min(...each.map(({ share }) => share)),
    };
};

/** Shares admitted: bounds for all requests, for those of the one that sends most, and for those of the others. */
const loads = [
    {
        name: "one at 6 times its rate among 5",
        senders: [heavy(60), ...sendersOf(4, 10)],
        shed: 0.4,
        all: [0.55, 0.65],
        heavy: [0.28, 0.4],
        others: [0.95, 1],
    },
    {
        name: "one at 6 times its rate among 50",
        senders: [heavy(18), ...sendersOf(49, 3)],
        shed: 0.5,
        all: [0.45, 0.6],
        heavy: [0.125, 0.25],
        others: [0.53, 0.65],
    },
    {
        name: "all over their share",
        senders: sendersOf(5, 20),
        shed: 0.5,
        all: [0.45, 0.55],
        heavy: undefined,
        others: [0.45, 0.55],
    },
    {
        name: "one alone",
        senders: [heavy(50)],
        shed: 0.5,
        all: [0.45, 0.55],
        heavy: [0.45, 0.55],
        others: undefined,
    },
    {
        name: "300, of which one at 60 times the rate",
        senders: [heavy(60), ...sendersOf(299, 1)],
        shed: 0.3,
        all: [0.65, 0.75],
        heavy: [0.17, 0.3],
        others: [0.75, 0.95],
    },
    {
        name: "callers without a key at 6 times the rate",
        senders: [{ organisation: undefined, perSecond: 60 }, ...sendersOf(4, 10)],
        shed: 0.4,
        all: [0.55, 0.65],
        heavy: [0.28, 0.4],
        others: [0.95, 1],
    },
    {
        name: "100 that send so rarely that most are not known",
        senders: sendersOf(100, 0.3),
        shed: 0.5,
        all: [0.4, 0.65],
        heavy: undefined,
        others: [0.4, 0.65],
    },
] as const;

// Guards against an organisation that makes the VM refuse requests of others, and against refusing an organisation so
// often that it is served less than a quarter as often as all.
loads.forEach(({ name, senders, shed, ...bounds }) => {
    test(`shares: ${name}`, t => {
        const served = simulate(senders, shed);
        (["all", "heavy", "others"] as const).forEach(of => {
            const [least, most] = bounds[of] ?? [NaN, NaN];
            t.true(bounds[of] === undefined || (served[of] >= least && served[of] <= most), `${of} ${served[of]}`);
        });
        t.true(served.least >= served.all / 4, `least ${served.least}, all ${served.all}`);
        t.true(served.groups <= 257, `${served.groups} groups`);
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

const levels = [
    { name: "what the small ones leave goes to the large one", recents: [1, 1, 6], admitted: 5, floor: 0, level: 3 },
    { name: "equal shares", recents: [4, 4], admitted: 4, floor: 0, level: 2 },
    { name: "everything is admitted", recents: [1, 3], admitted: 4, floor: 0, level: 3 },
    {
        name: "the floor of the large one is taken from the others",
        recents: [2, 8],
        admitted: 3,
        floor: 0.25,
        level: 1,
    },
    { name: "all at their floors", recents: [2, 8], admitted: 2.5, floor: 0.25, level: 0 },
];
levels.forEach(({ name, recents, admitted, floor, level }) => {
    test(`shareLevel: ${name}`, t => {
        t.is(shareLevel(recents, admitted, floor), level);
    });
});
