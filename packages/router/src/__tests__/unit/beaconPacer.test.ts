import test from "ava";

import { createBeaconPacer } from "../../peers/createBeaconPacer.js";
import { createVirtualTime } from "../support/createVirtualTime.js";

// Beacons to dozens of VMs go out at once and fill small links; streams pause and orders end as unreached.

type Told = { readonly at: number; readonly target: number; };

/** Runs a pacer in virtual time; gives when which target was told. */
const play = (
    targets: number,
    hurryAt: readonly number[],
    forMs: number,
): { readonly told: readonly Told[]; readonly cuts: number; } => {
    const { clock, later, runUntil } = createVirtualTime();
    const told: Told[] = [];
    const counts = { cuts: 0 };
    const pacer = createBeaconPacer<number>({
        clock,
        later,
        targets: () => Array.from({ length: targets }, (_, i) => i),
        onRound: isCut => {
            counts.cuts += isCut ? 1 : 0;
        },
        tell: batch => batch.forEach(target => told.push({ at: clock.now(), target })),
        intervalMs: () => Math.min(1_000, Math.max(200, 25 * targets)),
    });
    hurryAt.forEach(at => later(at, pacer.hurry));
    runUntil(forMs);
    return { told, cuts: counts.cuts };
};

/** Most that goes out within a span of so many milliseconds. */
const mostWithin = (told: readonly Told[], ms: number): number =>
    told.reduce((most, { at }) => Math.max(most, told.filter(each => each.at >= at && each.at < at + ms).length), 0);

/** Longest time that a target is not told, up to the end of the play. */
const longestGap = (told: readonly Told[], targets: number, forMs: number): number =>
    Math.max(...Array.from({ length: targets }, (_, target) => {
        const times = [0, ...told.filter(each => each.target === target).map(({ at }) => at), forMs];
        return Math.max(...times.slice(1).map((at, i) => at - (times[i] ?? 0)));
    }));

/** Bytes of a beacon among sixty VMs, and of a tenth of a second on the smallest link, 7 Mbit/s. */
const BEACON_BYTES = 900;
const LINK_BYTES = 87_500;
/** A quarter of the link at most is for what VMs tell each other. */
const MOST = LINK_BYTES / 4 / BEACON_BYTES;

const orders = Array.from({ length: 16 }, () => 2_010);
const ends = Array.from({ length: 16 }, (_, i) => 2_600 + 90 * i);

type Case = { readonly name: string; readonly hurryAt: readonly number[]; };

const cases: readonly Case[] = [
    { name: "nothing special", hurryAt: [] },
    { name: "one piece of news", hurryAt: [2_010] },
    { name: "a wave of orders, and their ends one by one", hurryAt: [...orders, ...ends] },
    { name: "news all the time", hurryAt: Array.from({ length: 900 }, (_, i) => 10 * i) },
];

const TARGETS = 60;
const FOR_MS = 9_000;

cases.forEach(({ name, hurryAt }) => {
    test(`beacons of sixty VMs leave room on a small link: ${name}`, t => {
        const { told } = play(TARGETS, hurryAt, FOR_MS);
        t.true(mostWithin(told, 100) <= MOST, `${mostWithin(told, 100)} in a tenth of a second`);
        t.true(longestGap(told, TARGETS, FOR_MS) <= 2_000, "one beacon may be lost before a VM is out of hearing");
    });
    test(`beacons of sixty VMs tell news within 0.7 s: ${name}`, t => {
        const { told } = play(TARGETS, hurryAt, FOR_MS);
        hurryAt.filter(at => at < FOR_MS - 1_000).forEach(at => {
            const heard = new Set(told.filter(each => each.at >= at && each.at <= at + 700).map(each => each.target));
            t.is(heard.size, TARGETS);
        });
        t.pass();
    });
});

test("beacons of few VMs go out together, at once where there is news", t => {
    const { told } = play(5, [1_050], 1_100);
    t.deepEqual([...new Set(told.map(({ at }) => at))], [0, 200, 400, 600, 800, 1_000, 1_050]);
});

test("a round that is cut short says so, and the next one tells all", t => {
    const { told, cuts } = play(TARGETS, [500], 900);
    t.is(cuts, 1);
    t.is(new Set(told.filter(({ at }) => at >= 500).map(({ target }) => target)).size, TARGETS);
});
