import { setTimeout as delay } from "node:timers/promises";

import type { Incarnation, Millis, VmId } from "@azureshunt/core";
import { homeOf, vouchedAge } from "@azureshunt/membership";
import { z } from "zod";

import type { HomePort } from "../membership/HomePort.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { createAllowanceStore } from "./createAllowanceStore.js";
import { HandedBody } from "./HandedBody.js";
import type { OrganisationEntry } from "./OrganisationEntry.js";

const EXCHANGE_MS = 500;
const PUSH_MS = 2_000;
const PUSH_AGAIN_MS = 50;

const HandOverBody = z.object({ run: z.string(), joinedAt: z.number() });

/** Moves of buckets from one home to the next. */
type HandOvers = {
    /** Asks a VM to hand over what is homed here now. */
    readonly ask: (of: VmId, joinedAt: number) => Promise<void>;
    /** Hands over everything, when this daemon stops. */
    readonly leave: () => Promise<void>;
    readonly stop: () => void;
};

/** What the event just told has made of the bucket. */
const handedBy = (entry: OrganisationEntry): OrganisationEntry["handed"] => entry.handed;

/**
 * Hands buckets over between the homes of one failure domain.
 *
 * Failure guarded against: a hand-over whose answer is lost is asked for again, and the second answer, without the
 * buckets, would vouch for their organisations as never spent. So each run is vouched for once; after that the new home
 * starts empty, and not before the grants that the lost buckets had given have run out.
 */
export function createHandOvers(
    ctx: DaemonContext,
    homes: HomePort,
    store: ReturnType<typeof createAllowanceStore>,
): HandOvers {
    const { clock, metrics, settings } = ctx;
    const asked = new Set<VmId>();

    const count = (outcome: string): void =>
        metrics.count("azureshunt_allowance_hand_overs_total", "Hand-overs between homes, by outcome.", { outcome });

    const homeHere = (organisation: Parameters<typeof homeOf>[1]): VmId | undefined =>
        homeOf(homes.membership().members.values(), organisation, settings.failureDomain);

    /** Takes the buckets that are homed at another VM now out of this one. */
    const takeOut = (to: VmId) =>
        store.entries()
            .filter(entry => entry.allowance.bucket !== undefined && homeHere(entry.organisation) === to)
            .flatMap(entry => {
                store.place(entry);
                entry.handed = undefined;
                store.tell(entry, { kind: "hand-over", to });
                const handed = handedBy(entry);
                return handed === undefined ? [] : [{ organisation: entry.organisation, ...handed.bucket }];
            });

    const take = (from: VmId, { ageMs, buckets }: HandedBody): void => {
        buckets.forEach(({ organisation, ...bucket }) => {
            const entry = store.open(organisation);
            if (entry !== undefined) {
                store.tell(entry, { kind: "handed", bucket });
            }
        });
        homes.tell({ kind: "handed-over", from, ageMs });
        count("taken");
    };

    const give = (body: object, from: VmId): object => {
        const asked = HandOverBody.safeParse(body);
        const membership = homes.membership();
        const run = membership.members.get(from)?.run;
        if (!asked.success || run !== asked.data.run || membership.offset <= asked.data.joinedAt) {
            return { ready: false };
        }
        const again = membership.handedTo.includes(run);
        homes.tell({ kind: "gave", to: run as Incarnation });
        count(again ? "given again" : "given");
        return {
            ready: true,
            ageMs: again ? -membership.keepMs : vouchedAge(membership, clock.now()),
            buckets: takeOut(from),
        };
    };

    const receive = (body: object, from: VmId): object => {
        const pushed = HandedBody.safeParse(body);
        const { members, departures } = homes.membership();
        const taken = pushed.success && !members.has(from) && departures.some(({ vm }) => vm === from);
        if (taken) {
            take(from, pushed.data);
        }
        return { taken };
    };

    const push = async (to: VmId, body: () => HandedBody, deadline: Millis): Promise<void> => {
        const answered = await ctx.peers.exchange(to, "handOverPush", body(), EXCHANGE_MS);
        const taken = answered.map(answer => "taken" in answer && answer.taken === true).orDefault(false);
        if (taken || clock.now() >= deadline) {
            count(taken ? "pushed" : "not taken");
            return;
        }
        await delay(PUSH_AGAIN_MS);
        await push(to, body, deadline);
    };

    const leave = async (): Promise<void> => {
        const vouchedAt = clock.now();
        const vouched = vouchedAge(homes.membership(), vouchedAt);
        if (!await homes.leave()) {
            count("not left");
            return;
        }
        const deadline = clock.now() + PUSH_MS;
        const near = [...homes.membership().members.values()]
            .filter(member => member.failureDomain === settings.failureDomain);
        await Promise.all(near.map(({ vm }) => {
            const buckets = takeOut(vm);
            return push(vm, () => ({ ageMs: vouched + clock.now() - vouchedAt, buckets }), deadline);
        }));
    };

    const ask = async (of: VmId, joinedAt: number): Promise<void> => {
        if (asked.has(of)) {
            return;
        }
        asked.add(of);
        const answered = await ctx.peers.exchange(of, "handOver", { run: ctx.incarnation, joinedAt }, EXCHANGE_MS);
        asked.delete(of);
        answered.ifRight(answer => {
            const handed = HandedBody.safeParse(answer);
            const ready = "ready" in answer && answer.ready === true;
            if (ready && handed.success && homes.membership().awaiting.includes(of)) {
                take(of, handed.data);
            }
        });
    };

    const unregister = [
        ctx.peers.handle("handOver", (body, from) => Promise.resolve(give(body, from))),
        ctx.peers.handle("handOverPush", (body, from) => Promise.resolve(receive(body, from))),
    ];
    return { ask, leave, stop: () => unregister.forEach(remove => remove()) };
}
