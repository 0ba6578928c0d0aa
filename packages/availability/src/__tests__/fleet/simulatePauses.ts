import type { Millis } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";

import { availabilityAt } from "../../availabilityAt.js";
import type { EndpointAvailability } from "../../EndpointAvailability.js";
import { initialAvailability } from "../../initialAvailability.js";
import type { learnPause } from "../../learnPause.js";
import { recordRefusal } from "../../recordRefusal.js";
import { recordSent } from "../../recordSent.js";
import { recordServed } from "../../recordServed.js";

/** How the VMs use the pauses that endpoints ask for. */
type Way = {
    /** Applies a pause that a peer was told. */
    readonly learn: typeof learnPause;
    /** Whether a VM keeps to the pause that it was told itself, and prefers endpoints that have not refused. */
    readonly prefers: boolean;
};

type PausedFleet = {
    readonly seed: number;
    readonly vms: number;
    readonly endpoints: number;
    /** Endpoints that refuse, all requests or those of this fraction of the VMs. */
    readonly refusing: number;
    readonly refusedVms?: number;
    readonly pauseMs: Millis;
    readonly perSecond: number;
    readonly runMs?: Millis;
    readonly way: Way;
};

type Outcome = {
    /** Fraction of the requests that were served. */
    readonly served: number;
    /** Refusals by endpoints, as a fraction of the requests. */
    readonly refusals: number;
    /** The most requests from one VM at one endpoint within one pause, from half a second after its begin. */
    readonly most: number;
    /** Statements about pauses that VMs receive a second, each. */
    readonly messages: number;
};

const ANSWER_MS = 4;
/** Time until the other VMs know of a pause, with up to a few VMs and with relays between them. */
const fewVms = 8;
const TOLD_MS = { few: 60, many: 400 };
const SLACK_MS = 500;
const SPREAD = 7_919;
const RETRY_RATIO = 0.2;
const MS_PER_SECOND = 1_000;

/** Runs callers against a fleet in virtual time, in which some endpoints refuse and ask for pauses all the while. */
export function simulatePauses(run: PausedFleet): Outcome {
    const { vms, endpoints, refusing, refusedVms = 1, pauseMs, perSecond, runMs = 12_000, way } = run;
    const random = seededRandom(run.seed).next;
    const states = Array.from({ length: vms }, () => Array.from({ length: endpoints }, () => initialAvailability(1)));
    const arrivals = Array.from({ length: vms }, () => Array.from({ length: endpoints }, (): Millis[] => []));
    const refusedAt = Array.from({ length: vms }, () => Array.from({ length: endpoints }, (): Millis[] => []));
    const told: { at: Millis; from: number; endpoint: number; until: Millis; }[] = [];
    const count = { requests: 0, served: 0, refusals: 0, messages: 0 };
    const budget = { tokens: RETRY_RATIO * perSecond };

    /** Spreads those that refuse over all endpoints. */
    const isRefusing = (endpoint: number): boolean => endpoint * SPREAD % endpoints < refusing;
    const update = (
        vm: number,
        endpoint: number,
        change: (state: EndpointAvailability) => EndpointAvailability,
    ): void => {
        const row = states[vm];
        const state = row?.[endpoint];
        if (row !== undefined && state !== undefined) {
            row[endpoint] = change(state);
        }
    };
    const deliver = (now: Millis): void => {
        while (told[0] !== undefined && told[0].at <= now) {
            const { from, endpoint, until } = told.shift()!;
            states.forEach((_, vm) => {
                if (vm !== from) {
                    count.messages += 1;
                    update(
                        vm,
                        endpoint,
                        state => way.learn(state, { pauseMs: until - now, isShared: false }, now, random()),
                    );
                }
            });
        }
    };
    const choose = (vm: number, tried: ReadonlySet<number>, now: Millis): number | undefined => {
        const row = states[vm] ?? [];
        const first = Math.floor(random() * endpoints);
        const avoided = { endpoint: undefined as number | undefined };
        for (let i = 0; i < endpoints; i += 1) {
            const endpoint = (first + i) % endpoints;
            const state = row[endpoint];
            const said = state === undefined || tried.has(endpoint) ? "leaving" : availabilityAt(state, now);
            if (said === "available" || (!way.prefers && said !== "leaving")) {
                return endpoint;
            }
            if (said === "avoided") {
                avoided.endpoint ??= endpoint;
            }
        }
        return avoided.endpoint;
    };
    const serve = (vm: number, at: Millis, tried: ReadonlySet<number>): void => {
        const endpoint = choose(vm, tried, at);
        if (endpoint === undefined) {
            return;
        }
        arrivals[vm]?.[endpoint]?.push(at);
        update(vm, endpoint, state => recordSent(state, at));
        const now = at + ANSWER_MS;
        if (!isRefusing(endpoint) || vm >= vms * refusedVms) {
            count.served += 1;
            update(vm, endpoint, state => recordServed(state, at));
            return;
        }
        count.refusals += 1;
        refusedAt[vm]?.[endpoint]?.push(at);
        update(vm, endpoint, state => recordRefusal(state, { sentAt: at, retryAfterMs: pauseMs }, now, random()));
        told.push({
            at: now + (vms <= fewVms ? TOLD_MS.few : TOLD_MS.many),
            from: vm,
            endpoint,
            until: now + pauseMs,
        });
        if (budget.tokens >= 1) {
            budget.tokens -= 1;
            serve(vm, now, new Set([...tried, endpoint]));
        }
    };
    const gapMs = MS_PER_SECOND / perSecond;
    for (let now = 0; now < runMs; now += gapMs) {
        deliver(now);
        budget.tokens = Math.min(RETRY_RATIO * perSecond, budget.tokens + RETRY_RATIO);
        count.requests += 1;
        serve(Math.floor(random() * vms), now, new Set());
    }
    const most = Math.max(
        0,
        ...refusedAt.flatMap((row, vm) =>
            row.flatMap((times, endpoint) =>
                times.map(from =>
                    (arrivals[vm]?.[endpoint] ?? []).filter(at => at > from + SLACK_MS && at < from + pauseMs).length
                )
            )
        ),
    );
    return {
        served: count.served / count.requests,
        refusals: count.refusals / count.requests,
        most,
        messages: count.messages / vms / (runMs / MS_PER_SECOND),
    };
}
