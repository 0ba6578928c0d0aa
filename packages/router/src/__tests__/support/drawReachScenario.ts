import type { Millis } from "@azureshunt/core";

import { seededRandom } from "./seededRandom.js";
import type { simulateReach } from "./simulateReach.js";

type ReachScenario = Parameters<typeof simulateReach>[0];
type ReachEvent = ReachScenario["events"][number];

/** VMs of all failure domains together. */
const MAX_VMS = 140;
const MAX_DOMAIN = 100;
const MIN_DOMAIN = 2;
const MAX_DOMAINS = 5;
const LENGTH_MS: Millis = 17_000;

/** Draws a fleet of two to five failure domains of 2 to 100 VMs, and cuts, kills and restarts that overlap. */
export function drawReachScenario(seed: number): ReachScenario {
    const random = seededRandom(seed * 7_919 + 13);
    const pick = <Item>(items: readonly Item[]): Item => {
        const item = items[Math.floor(random() * items.length)];
        if (item === undefined) {
            throw new Error("nothing to pick from");
        }
        return item;
    };
    const between = (from: number, to: number): number => from + Math.floor(random() * (to - from + 1));
    const count = between(2, MAX_DOMAINS);
    const most = Math.min(MAX_DOMAIN, Math.floor(MAX_VMS / count));
    const names = ["a", "b", "c", "d", "e"].slice(0, count);
    const domains = Object.fromEntries(
        names.map(name => [name, pick([MIN_DOMAIN, between(MIN_DOMAIN, 6), between(MIN_DOMAIN, most), most])]),
    );
    const vmsOf = (domain: string): readonly string[] =>
        Array.from({ length: domains[domain] ?? 0 }, (_, i) => `${domain}${i + 1}`);
    const some = (vms: readonly string[], share: number): readonly string[] => vms.filter(() => random() < share);

    const cutVms = (): readonly string[] =>
        pick([
            () => vmsOf(pick(names)),
            () => some(vmsOf(pick(names)), random()),
            () => vmsOf(pick(names)).slice(1),
            () => names.slice(1).flatMap(vmsOf),
            () => some(names.flatMap(vmsOf), random()),
            () => names.flatMap(vmsOf).slice(1),
        ])();
    const drawCut = (): readonly ReachEvent[] => {
        const at = between(500, 6_000);
        const vms = cutVms();
        const service = pick([{}, {}, { service: "lm" }, { service: "desk" }]);
        const heal = (healAt: Millis, healed: readonly string[]): ReachEvent => ({
            at: healAt,
            vms: healed,
            kind: "heal",
            ...service,
        });
        const cut = (cutAt: Millis): ReachEvent => ({
            at: cutAt,
            vms,
            kind: pick(["hang", "reset"] as const),
            ...service,
        });
        return pick<() => readonly ReachEvent[]>([
            () => [cut(at)],
            () => [cut(at), heal(at + between(200, 5_000), vms)],
            () => [cut(at), heal(at + between(200, 5_000), some(vms, 0.5))],
            // Flaps.
            () => [cut(at), heal(at + 700, vms), cut(at + 1_400), heal(at + 2_100, vms), cut(at + 2_800)],
        ])();
    };
    const drawKill = (): readonly ReachEvent[] => {
        const at = between(500, 7_000);
        // Relays are the first VMs of a domain.
        const vms = pick([vmsOf(pick(names)).slice(0, 2), names.flatMap(name => vmsOf(name).slice(0, 1))]);
        return [{ at, vms, kind: "kill" }, { at: at + between(300, 4_000), vms, kind: "start" }];
    };
    return {
        seed,
        domains,
        events: [...Array.from({ length: between(1, 3) }, drawCut), ...Array.from({ length: between(0, 2) }, drawKill)]
            .flat(),
        lengthMs: LENGTH_MS,
        perSecond: pick([1, 3, 6]),
        endpoints: pick([8, 30, 90]),
    };
}
