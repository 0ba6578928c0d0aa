import type { Clock, Millis, OrganisationId, Refusal, Tokens } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import type { Organisation } from "../configuration/Organisation.js";
import type { createAllowances } from "./createAllowances.js";
import { waitForAllowance } from "./waitForAllowance.js";

/** A request that is to be charged to its organisation. */
type Charge = {
    readonly organisation: Organisation;
    readonly tokens: Tokens;
    /** Until when it may wait for tokens. */
    readonly waitsUntil: Millis;
    /** Aborted when the caller has left. */
    readonly signal: AbortSignal;
};

type Waiting = Charge & { readonly settle: (outcome: Either<Refusal, void>) => void; };

type QueueParts = {
    readonly clock: Clock;
    readonly allowances: Pick<ReturnType<typeof createAllowances>, "noteDemand" | "spend" | "refusal">;
    /** Runs a function after some time. */
    readonly later: (delayMs: Millis, run: () => void) => void;
};

/** Charges requests to their organisations, in the order in which they came. */
type AllowanceQueue = {
    /** Right when the tokens were taken; Left when there are none in the time that the request may wait. */
    readonly charge: (charge: Charge) => Promise<Either<Refusal, void>>;
};

const MS_PER_SECOND = 1_000;
/** Timers are coarse: asked earlier than this, the bucket would be found short by a fraction of a token. */
const LEAST_WAIT_MS: Millis = 1;

/** Makes the queue of requests that wait for tokens of their organisations; see `waitForAllowance` for who waits. */
export function createAllowanceQueue({ clock, allowances, later }: QueueParts): AllowanceQueue {
    const queues = new Map<OrganisationId, Waiting[]>();

    const decide = (charge: Charge, refusal: Refusal, ahead: readonly Charge[]): ReturnType<typeof waitForAllowance> =>
        waitForAllowance({
            shortMs: (refusal.retryAfterSeconds ?? 0) * MS_PER_SECOND,
            queuedTokens: ahead.reduce((sum, { tokens }) => sum + tokens, 0),
            ratePerSecond: charge.organisation.ratePerSecond ?? Infinity,
            leftMs: charge.waitsUntil - clock.now(),
        });

    /** Charges the one that waits longest, as soon as there are tokens, and then the next. */
    const serve = (id: OrganisationId): void => {
        const queue = queues.get(id) ?? [];
        const [head] = queue;
        if (head === undefined) {
            queues.delete(id);
            return;
        }
        const outcome = head.signal.aborted
            ? Left(allowances.refusal(head.organisation, head.tokens))
            : allowances.spend(head.organisation, head.tokens);
        const refusal = outcome.swap().toMaybe().extract();
        const decision = refusal === undefined || head.signal.aborted ? undefined : decide(head, refusal, []);
        if (decision?.kind === "wait") {
            later(Math.max(LEAST_WAIT_MS, decision.waitMs), () => serve(id));
            return;
        }
        queue.shift();
        head.settle(outcome);
        serve(id);
    };

    const charge: AllowanceQueue["charge"] = async asked => {
        const { organisation, tokens } = asked;
        const queue = queues.get(organisation.id) ?? [];
        allowances.noteDemand(organisation, tokens);
        const outcome = queue.length === 0
            ? allowances.spend(organisation, tokens)
            : Left(allowances.refusal(organisation, tokens));
        const refusal = outcome.swap().toMaybe().extract();
        if (refusal === undefined) {
            return outcome;
        }
        const { kind, waitMs } = decide(asked, refusal, queue);
        if (kind === "refuse") {
            return Left({ ...refusal, retryAfterSeconds: waitMs / MS_PER_SECOND });
        }
        return new Promise(settle => {
            queue.push({ ...asked, settle });
            if (queue.length === 1) {
                queues.set(organisation.id, queue);
                later(Math.max(LEAST_WAIT_MS, waitMs), () => serve(organisation.id));
            }
        });
    };
    return { charge };
}
