import { setTimeout as delay } from "node:timers/promises";

import type { ChargePart } from "@azureshunt/allowance";
import { availableTokens, timing } from "@azureshunt/allowance";
import type { OrganisationId, Refusal, VmId } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { dispatch, spawnStateless, stop as stopActor } from "nact";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { HomePort } from "../membership/HomePort.js";
import type { AllowancePort } from "../ports/AllowancePort.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Reservation } from "../ports/Reservation.js";
import type { AllowanceMessage } from "./AllowanceMessage.js";
import type { AllowanceReport } from "./AllowanceReport.js";
import { createAllowanceStore } from "./createAllowanceStore.js";
import { createHandOvers } from "./createHandOvers.js";
import { exchangeAsk } from "./exchangeAsk.js";
import { handleAsk } from "./handleAsk.js";
import { RecallBody } from "./RecallBody.js";

const TICK_MS = 100;

type Decision = Either<Refusal, readonly ChargePart[]>;

/** The allowances of this daemon, for its start and stop and for the administration API. */
type RunningAllowances = AllowancePort & {
    readonly stop: () => void;
    /** Gives back all tokens and hands over all buckets; called when the daemon stops. */
    readonly drain: () => Promise<void>;
    /** Returns undefined while the organisation is not in use on this VM. */
    readonly inspect: (organisation: OrganisationId) => AllowanceReport | undefined;
};

/** Starts the allowances, which share each organisation's rate and burst among all VMs by grants from its home VMs. */
export function createAllowancePort(ctx: DaemonContext, homes: HomePort): RunningAllowances {
    const { clock, metrics } = ctx;
    const chargedParts = new WeakMap<Reservation, readonly ChargePart[]>();
    const requestNumber = { next: 0 };

    const perform = async (message: AllowanceMessage): Promise<void> => {
        switch (message.kind) {
            case "ask": {
                const event = await exchangeAsk(ctx, message);
                const entry = store.get(message.organisation);
                if (entry !== undefined) {
                    store.apply(entry, event);
                }
                return;
            }
            case "recall": {
                const { organisation, to, waitedMs } = message;
                metrics.count(
                    "azureshunt_allowance_recalls_total",
                    "Times that tokens held elsewhere were called back.",
                );
                await ctx.peers.exchange(to, "allowanceRecall", { organisation, waitedMs }, timing.askTimeoutMs);
                return;
            }
            case "request-hand-over":
                return await handOvers.request(message.from, message.joinedAt);
        }
    };
    const actor = spawnStateless(ctx.system, (message: AllowanceMessage) => perform(message), "allowance-messages");
    const store = createAllowanceStore(ctx, homes, message => dispatch(actor, message));
    const handOvers = createHandOvers(ctx, homes, store);

    const applyRecall = (body: object, from: VmId): void => {
        const recall = RecallBody.safeParse(body);
        const entry = recall.success ? store.get(recall.data.organisation) : undefined;
        if (recall.success && entry !== undefined) {
            store.apply(entry, { kind: "recall", from, waitedMs: recall.data.waitedMs });
        }
    };
    const updateAllPlacements = (): void => store.entries().forEach(store.updatePlacement);
    const unregister = [
        ctx.peers.handle("allowanceAsk", (body, from) => Promise.resolve(handleAsk(store, body, from))),
        ctx.peers.handle("allowanceRecall", (body, from) => {
            applyRecall(body, from);
            return Promise.resolve({});
        }),
        ctx.release.subscribe(updateAllPlacements),
        metrics.gauge(
            "azureshunt_allowance_organisations",
            "Organisations whose allowance this daemon keeps.",
            () => store.entries().length,
        ),
    ];
    homes.onHomesChanged(updateAllPlacements);
    homes.onHandOverDue((from, joinedAt) => dispatch(actor, { kind: "request-hand-over", from, joinedAt }));
    const timer = setInterval(store.tick, TICK_MS);

    const reserve: AllowancePort["reserve"] = async (organisation, tokens, deadline, signal) => {
        if (tokens <= 0) {
            return Right({ organisation, tokens: 0 });
        }
        const entry = store.open(organisation);
        if (entry === undefined) {
            return Left(refusalOf("not-allowed"));
        }
        const id = requestNumber.next++;
        const startedAt = clock.now();
        const decided = new Promise<Decision>(resolve => {
            entry.waiting.set(id, resolve);
            store.apply(entry, { kind: "reserve", id, tokens, deadline });
        });
        const abandon = (): void => {
            entry.waiting.get(id)?.(Left(refusalOf("caller-gone", undefined, { ran: "no" })));
            entry.waiting.delete(id);
            store.apply(entry, { kind: "abandon", id });
        };
        if (entry.waiting.has(id)) {
            signal.addEventListener("abort", abandon, { once: true });
        }
        const decision = await decided;
        signal.removeEventListener("abort", abandon);
        metrics.record("azureshunt_allowance_wait_ms", "Wait of requests for tokens.", clock.now() - startedAt);
        return decision.map(charged => {
            const reservation: Reservation = { organisation, tokens };
            chargedParts.set(reservation, charged);
            return reservation;
        });
    };

    const settle: AllowancePort["settle"] = (reservation, used) => {
        const charged = chargedParts.get(reservation);
        const entry = charged === undefined ? undefined : store.get(reservation.organisation);
        chargedParts.delete(reservation);
        if (charged !== undefined && entry !== undefined) {
            store.apply(entry, { kind: "settle", parts: charged, used });
        }
    };

    const drain = async (): Promise<void> => {
        store.entries().forEach(entry => store.apply(entry, { kind: "drain" }));
        await delay(timing.askLateMs);
        await handOvers.leave();
    };

    const inspect = (organisation: OrganisationId): AllowanceReport | undefined => {
        const entry = store.get(organisation);
        if (entry === undefined) {
            return undefined;
        }
        const { allowance, charged: spent, refused, waiting } = entry;
        return {
            organisation,
            ...allowance.limits,
            here: availableTokens(allowance, clock.now()),
            spent,
            refused,
            waiting: waiting.size,
            homes: allowance.homes.map(home => `${home.domain} ${home.vm}`),
        };
    };

    return {
        reserve,
        settle,
        drain,
        inspect,
        stop: () => {
            clearInterval(timer);
            unregister.forEach(remove => remove());
            handOvers.stop();
            store.clear();
            stopActor(actor);
        },
    };
}
