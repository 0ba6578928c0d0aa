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
    /** Returns the entry of an organisation, creating it if needed; undefined if the configuration does not name it. */
    readonly open: (organisation: OrganisationId) => OrganisationEntry | undefined;
    readonly get: (organisation: OrganisationId) => OrganisationEntry | undefined;
    readonly entries: () => readonly OrganisationEntry[];
    readonly apply: (entry: OrganisationEntry, event: AllowanceEvent) => void;
    /** Applies the homes and limits that are current now. */
    readonly updatePlacement: (entry: OrganisationEntry) => void;
    /** Applies a tick to every organisation and removes those that are idle. */
    readonly tick: () => void;
    readonly clear: () => void;
};

/**
 * Creates the store of the aggregates of the organisations in use. Events are applied synchronously, so that a request
 * whose tokens are on this VM does not wait; messages to other daemons go through an actor.
 *
 * @param send passes a message to the actor
 */
export function createAllowanceStore(
    ctx: DaemonContext,
    homes: HomePort,
    send: (message: AllowanceMessage) => void,
): AllowanceStore {
    const { clock, metrics, settings } = ctx;
    const logger = ctx.logger("allowance");
    const entries = new Map<OrganisationId, OrganisationEntry>();
    const timers = new Set<NodeJS.Timeout>();

    const placementOf = (organisation: OrganisationId) =>
        placeOrganisation(
            ctx.release.current(),
            homes.membership(),
            ctx.membership.members(),
            organisation,
            clock.now(),
        );

    /**
     * Runs a function after the messages that have already arrived are read. When this VM was busy, timers run before
     * messages. Without this, a request would be refused because its home is silent although the answer has arrived.
     */
    const afterPendingMessages = (act: () => void): void => void setImmediate(act);

    const wake = (entry: OrganisationEntry, at: Millis): void => {
        const now = clock.now();
        if (entry.wakesAt > now && entry.wakesAt <= at) {
            return;
        }
        entry.wakesAt = at;
        const timer = setTimeout(() => {
            timers.delete(timer);
            afterPendingMessages(() => apply(entry, { kind: "tick" }));
        }, Math.max(1, at - now));
        timers.add(timer);
    };

    const decide = (
        entry: OrganisationEntry,
        effect: Extract<AllowanceEffect, { kind: "admit" | "refuse"; }>,
    ): void => {
        const resolve = entry.waiting.get(effect.id);
        entry.waiting.delete(effect.id);
        if (effect.kind === "admit") {
            entry.charged += effect.parts.reduce((sum, part) => sum + part.tokens, 0);
            resolve?.(Right(effect.parts));
            return;
        }
        entry.refused++;
        metrics.count("azureshunt_allowance_refusals_total", "Requests refused for want of tokens, by reason.", {
            reason: effect.reason,
        });
        logger.info(
            { organisation: entry.organisation, reason: effect.reason, homes: viewHomes(entry.allowance, clock.now()) },
            "Refused a request: its tokens could not be obtained.",
        );
        resolve?.(Left(refusalOf(effect.reason, undefined, { retryAfterSeconds: effect.retryAfterSeconds })));
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

    const apply = (entry: OrganisationEntry, event: AllowanceEvent): void => {
        const step = stepAllowance(entry.allowance, event, clock.now());
        entry.allowance = step.state;
        step.effects.forEach(effect => perform(entry, effect));
    };

    const open: AllowanceStore["open"] = organisation => {
        const found = entries.get(organisation);
        const place = found === undefined ? placementOf(organisation) : undefined;
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
        entries.set(organisation, entry);
        return entry;
    };

    const updatePlacement: AllowanceStore["updatePlacement"] = entry => {
        const event = placementOf(entry.organisation);
        if (event !== undefined) {
            apply(entry, event);
        }
    };

    /** Whether this VM is a home of the organisation and may not serve as one yet. */
    const isHomeNotServing = ({ allowance }: OrganisationEntry): boolean =>
        allowance.servesFrom === undefined && allowance.homes.some(home => home.vm === settings.vm);

    const tickAll = (): void =>
        entries.forEach(entry => {
            if (isHomeNotServing(entry)) {
                updatePlacement(entry);
            }
            apply(entry, { kind: "tick" });
            if (isIdle(entry.allowance, clock.now())) {
                entries.delete(entry.organisation);
            }
        });

    return {
        open,
        get: organisation => entries.get(organisation),
        entries: () => [...entries.values()],
        apply,
        updatePlacement,
        tick: () => afterPendingMessages(tickAll),
        clear: () => {
            timers.forEach(clearTimeout);
            entries.clear();
        },
    };
}
