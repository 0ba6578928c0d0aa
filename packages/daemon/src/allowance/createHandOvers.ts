import { setTimeout as delay } from "node:timers/promises";

import type { Incarnation, Millis, VmId } from "@azureshunt/core";
import { confirmedAge, homeOf } from "@azureshunt/membership";
import { z } from "zod";

import type { HomePort } from "../membership/HomePort.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { createAllowanceStore } from "./createAllowanceStore.js";
import { HandedBody } from "./HandedBody.js";
import type { OrganisationEntry } from "./OrganisationEntry.js";

const EXCHANGE_TIMEOUT_MS = 500;
/** How long a leaving home pushes its buckets, and the delay between two tries. */
const PUSH_FOR_MS = 2_000;
const PUSH_RETRY_MS = 50;

const HandOverBody = z.object({ run: z.string(), joinedAt: z.number() });

/** Moves buckets from one home to the next. */
type HandOvers = {
    /** Requests from a VM the buckets whose home is this VM now. */
    readonly request: (from: VmId, joinedAt: number) => Promise<void>;
    /** Hands over all buckets; called when this daemon stops. */
    readonly leave: () => Promise<void>;
    readonly stop: () => void;
};

/** Returns the bucket that the last event gave up. A function, as the compiler would take the field for unchanged. */
const lastHanded = (entry: OrganisationEntry): OrganisationEntry["handed"] => entry.handed;

/**
 * Hands over buckets between the homes of one failure domain.
 *
 * If the answer to a request for a hand-over is lost, the new home requests it again. The second answer no longer holds
 * the buckets, and would confirm that their organisations have spent nothing. To prevent this, a former home confirms
 * its state to each incarnation once; after that the new home starts empty, and not before the grants of the lost
 * buckets have expired.
 */
export function createHandOvers(
    ctx: DaemonContext,
    homes: HomePort,
    store: ReturnType<typeof createAllowanceStore>,
): HandOvers {
    const { clock, metrics, settings } = ctx;
    const requested = new Set<VmId>();

    const count = (outcome: string): void =>
        metrics.count("azureshunt_allowance_hand_overs_total", "Hand-overs between homes, by outcome.", { outcome });

    const homeInDomain = (organisation: Parameters<typeof homeOf>[1]): VmId | undefined =>
        homeOf(homes.membership().members.values(), organisation, settings.failureDomain);

    /** Removes from this VM the buckets whose home is another VM now, and returns them. */
    const removeBuckets = (to: VmId) =>
        store.entries()
            .filter(entry => entry.allowance.bucket !== undefined && homeInDomain(entry.organisation) === to)
            .flatMap(entry => {
                store.updatePlacement(entry);
                entry.handed = undefined;
                store.apply(entry, { kind: "hand-over", to });
                const handed = lastHanded(entry);
                return handed === undefined ? [] : [{ organisation: entry.organisation, ...handed.bucket }];
            });

    const acceptBuckets = (from: VmId, { ageMs, buckets }: HandedBody): void => {
        buckets.forEach(({ organisation, ...bucket }) => {
            const entry = store.open(organisation);
            if (entry !== undefined) {
                store.apply(entry, { kind: "handed", bucket });
            }
        });
        homes.tell({ kind: "handed-over", from, ageMs });
        count("taken");
    };

    const answerRequest = (body: object, from: VmId): object => {
        const parsed = HandOverBody.safeParse(body);
        const membership = homes.membership();
        const run = membership.members.get(from)?.run;
        if (!parsed.success || run !== parsed.data.run || membership.offset <= parsed.data.joinedAt) {
            return { ready: false };
        }
        const isRepeated = membership.handedTo.includes(run);
        homes.tell({ kind: "gave", to: run as Incarnation });
        count(isRepeated ? "given again" : "given");
        return {
            ready: true,
            ageMs: isRepeated ? -membership.keepMs : confirmedAge(membership, clock.now()),
            buckets: removeBuckets(from),
        };
    };

    const acceptPush = (body: object, from: VmId): object => {
        const pushed = HandedBody.safeParse(body);
        const { members, departures } = homes.membership();
        const taken = pushed.success && !members.has(from) && departures.some(({ vm }) => vm === from);
        if (taken) {
            acceptBuckets(from, pushed.data);
        }
        return { taken };
    };

    const push = async (to: VmId, body: () => HandedBody, deadline: Millis): Promise<void> => {
        const answer = await ctx.peers.exchange(to, "handOverPush", body(), EXCHANGE_TIMEOUT_MS);
        const taken = answer.map(found => "taken" in found && found.taken === true).orDefault(false);
        if (taken || clock.now() >= deadline) {
            count(taken ? "pushed" : "not taken");
            return;
        }
        await delay(PUSH_RETRY_MS);
        await push(to, body, deadline);
    };

    const leave = async (): Promise<void> => {
        const leftAt = clock.now();
        const ageAtLeaving = confirmedAge(homes.membership(), leftAt);
        if (!await homes.leave()) {
            count("not left");
            return;
        }
        const deadline = clock.now() + PUSH_FOR_MS;
        const domainPeers = [...homes.membership().members.values()]
            .filter(member => member.failureDomain === settings.failureDomain);
        await Promise.all(domainPeers.map(({ vm }) => {
            const buckets = removeBuckets(vm);
            return push(vm, () => ({ ageMs: ageAtLeaving + clock.now() - leftAt, buckets }), deadline);
        }));
    };

    const request = async (from: VmId, joinedAt: number): Promise<void> => {
        if (requested.has(from)) {
            return;
        }
        requested.add(from);
        const answered = await ctx.peers.exchange(
            from,
            "handOver",
            { run: ctx.incarnation, joinedAt },
            EXCHANGE_TIMEOUT_MS,
        );
        requested.delete(from);
        answered.ifRight(answer => {
            const handed = HandedBody.safeParse(answer);
            const ready = "ready" in answer && answer.ready === true;
            if (ready && handed.success && homes.membership().awaiting.includes(from)) {
                acceptBuckets(from, handed.data);
            }
        });
    };

    const unregister = [
        ctx.peers.handle("handOver", (body, from) => Promise.resolve(answerRequest(body, from))),
        ctx.peers.handle("handOverPush", (body, from) => Promise.resolve(acceptPush(body, from))),
    ];
    return { request, leave, stop: () => unregister.forEach(remove => remove()) };
}
