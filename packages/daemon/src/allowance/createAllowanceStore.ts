import type { AllowanceEffect, AllowanceEvent } from "@azureshunt/allowance";
import { isIdle, openAllowance, stepAllowance, viewHomes } from "@azureshunt/allowance";
import type { Millis, OrganisationId } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { Left, Right } from "purify-ts";

import type { HomePort } from "../membership/HomePort.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { AllowanceMessage } from "./AllowanceMessage.js";
import type { OrganisationEntry } from "./OrganisationEntry.js";
import { placeOrganisation } from "./placeOrganisation.js";

/** The allowances of the organisations in use on this VM. */
type AllowanceStore = {
    /** The entry of an organisation, made when there is none; undefined when the configuration does not know it. */
    readonly open: (organisation: OrganisationId) => OrganisationEntry | undefined;
    readonly get: (organisation: OrganisationId) => OrganisationEntry | undefined;
    readonly entries: () => readonly OrganisationEntry[];
    readonly tell: (entry: OrganisationEntry, event: AllowanceEvent) => void;
    /** Puts the homes and limits of now in force. */
    readonly place: (entry: OrganisationEntry) => void;
    /** Ticks every organisation, and forgets those that are idle. */
    readonly tick: () => void;
    readonly clear: () => void;
};

/**
 * Keeps the aggregates of the organisations in use. Events are taken at once, so that a request whose tokens are here
 * waits for nothing; messages go through an actor.
 *
 * @param send hands a message to the actor
 */
export function createAllowanceStore(
    ctx: DaemonContext,
    homes: HomePort,
    send: (message: AllowanceMessage) => void,
): AllowanceStore {
    const { clock, metrics, settings } = ctx;
    const logger = ctx.logger("allowance");
    const known = new Map<OrganisationId, OrganisationEntry>();
    const timers = new Set<NodeJS.Timeout>();

    const placed = (organisation: OrganisationId) =>
        placeOrganisation(
            ctx.release.current(),
            homes.membership(),
            ctx.membership.members(),
            organisation,
            clock.now(),
        );

    /**
     * Does something once what has arrived is read. Failure: this VM was busy, and timers come before messages: a request
     * is refused for a home's silence whose answer is already here.
     */
    const afterArrivals = (act: () => void): void => void setImmediate(act);

    const wake = (entry: OrganisationEntry, at: Millis): void => {
        const now = clock.now();
        if (entry.wakesAt > now && entry.wakesAt <= at) {
            return;
        }
        entry.wakesAt = at;
        const timer = setTimeout(() => {
            timers.delete(timer);
            afterArrivals(() => tell(entry, { kind: "tick" }));
        }, Math.max(1, at - now));
        timers.add(timer);
    };

    const decide = (
        entry: OrganisationEntry,
        effect: Extract<AllowanceEffect, { kind: "admit" | "refuse"; }>,
    ): void => {
        const settle = entry.waiting.get(effect.id);
        entry.waiting.delete(effect.id);
        if (effect.kind === "admit") {
            entry.charged += effect.parts.reduce((sum, part) => sum + part.tokens, 0);
            settle?.(Right(effect.parts));
            return;
        }
        entry.refused++;
        metrics.count("azureshunt_allowance_refusals_total", "Requests refused for want of tokens, by reason.", {
            reason: effect.reason,
        });
        logger.info(
            { organisation: entry.organisation, reason: effect.reason, homes: viewHomes(entry.allowance, clock.now()) },
            "Refused for want of tokens.",
        );
        settle?.(Left(refusalOf(effect.reason, undefined, { retryAfterSeconds: effect.retryAfterSeconds })));
    };

    const perform = (entry: OrganisationEntry, effect: AllowanceEffect): void => {
        const { organisation } = entry;
        switch (effect.kind) {
            case "admit":
            case "refuse":
                return decide(entry, effect);
            case "ask":
                return send({ kind: "ask", organisation, to: effect.to, ask: effect.ask });
            case "recall":
                return send({ kind: "recall", organisation, to: effect.to, waitedMs: effect.waitedMs });
            case "answer":
                entry.answer = effect.answer;
                return;
            case "decline":
                entry.answer = undefined;
                return;
            case "hand-over":
                entry.handed = effect;
                return;
            case "wake":
                return wake(entry, effect.at);
        }
    };

    const tell = (entry: OrganisationEntry, event: AllowanceEvent): void => {
        const step = stepAllowance(entry.allowance, event, clock.now());
        entry.allowance = step.state;
        step.effects.forEach(effect => perform(entry, effect));
    };

    const open: AllowanceStore["open"] = organisation => {
        const found = known.get(organisation);
        const place = found === undefined ? placed(organisation) : undefined;
        if (found !== undefined || place === undefined) {
            return found;
        }
        const entry: OrganisationEntry = {
            organisation,
            allowance: openAllowance({
                ...place,
                vm: settings.vm,
                run: ctx.incarnation,
                domain: settings.failureDomain,
                now: clock.now(),
            }),
            waiting: new Map(),
            answer: undefined,
            handed: undefined,
            wakesAt: 0,
            charged: 0,
            refused: 0,
        };
        known.set(organisation, entry);
        return entry;
    };

    const place: AllowanceStore["place"] = entry => {
        const event = placed(entry.organisation);
        if (event !== undefined) {
            tell(entry, event);
        }
    };

    const isBarredHome = ({ allowance }: OrganisationEntry): boolean =>
        allowance.servesFrom === undefined && allowance.homes.some(home => home.vm === settings.vm);

    const tickAll = (): void =>
        known.forEach(entry => {
            if (isBarredHome(entry)) {
                place(entry);
            }
            tell(entry, { kind: "tick" });
            if (isIdle(entry.allowance, clock.now())) {
                known.delete(entry.organisation);
            }
        });

    return {
        open,
        get: organisation => known.get(organisation),
        entries: () => [...known.values()],
        tell,
        place,
        tick: () => afterArrivals(tickAll),
        clear: () => {
            timers.forEach(clearTimeout);
            known.clear();
        },
    };
}
