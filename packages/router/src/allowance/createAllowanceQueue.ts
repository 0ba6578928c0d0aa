import type { Clock, Millis, OrganisationId, Refusal, Tokens } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import type { Organisation } from "../configuration/Organisation.js";
import type { CancelSignal } from "../dispatch/CancelSignal.js";
import type { createAllowances } from "./createAllowances.js";
import { waitForAllowance } from "./waitForAllowance.js";

/** A request to charge to its organisation. */
type Charge = {
    readonly organisation: Organisation;
    readonly tokens: Tokens;
    /** Time until which it may wait for tokens. */
    readonly waitsUntil: Millis;
    /** Aborted when the caller disconnects. */
    readonly signal: Pick<CancelSignal, "aborted">;
};

type QueuedCharge = Charge & { readonly settle: (outcome: Either<Refusal, void>) => void; };

type QueueParts = {
    readonly clock: Clock;
    readonly allowances: Pick<ReturnType<typeof createAllowances>, "recordDemand" | "spend" | "refusal">;
    /** Runs a function after a delay. */
    readonly schedule: (delayMs: Millis, run: () => void) => void;
};

/** Charges requests to their organisations in order of arrival. */
type AllowanceQueue = {
    /**
     * Resolves to Right once the tokens are spent; to Left if there will be none within the time that the request may
     * wait, or if its caller has disconnected when a queued request reaches the head and is served.
     */
    readonly charge: (charge: Charge) => Promise<Either<Refusal, void>>;
};

const MS_PER_SECOND = 1_000;
/** Timers are coarse: after a shorter wait, the bucket could still lack a fraction of a token. */
const MIN_WAIT_MS: Millis = 1;

/** Creates the queue of requests that wait for tokens; `waitForAllowance` decides which requests wait. */
export function createAllowanceQueue({ clock, allowances, schedule }: QueueParts): AllowanceQueue {
    const queues = new Map<OrganisationId, QueuedCharge[]>();

    const decide = (charge: Charge, refusal: Refusal, ahead: readonly Charge[]): ReturnType<typeof waitForAllowance> =>
        waitForAllowance({
            refillWaitMs: (refusal.retryAfterSeconds ?? 0) * MS_PER_SECOND,
            queuedTokens: ahead.reduce((sum, { tokens }) => sum + tokens, 0),
            ratePerSecond: charge.organisation.ratePerSecond ?? Infinity,
            maxWaitMs: charge.waitsUntil - clock.now(),
        });

    /** Charges the request at the head of the queue as soon as there are tokens, then the next one. */
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
            schedule(Math.max(MIN_WAIT_MS, decision.waitMs), () => serve(id));
            return;
        }
        queue.shift();
        head.settle(outcome);
        serve(id);
    };

    const charge: AllowanceQueue["charge"] = async request => {
        const { organisation, tokens } = request;
        const queue = queues.get(organisation.id) ?? [];
        allowances.recordDemand(organisation, tokens);
        const outcome = queue.length === 0
            ? allowances.spend(organisation, tokens)
            : Left(allowances.refusal(organisation, tokens));
        const refusal = outcome.swap().toMaybe().extract();
        if (refusal === undefined) {
            return outcome;
        }
        const { kind, waitMs } = decide(request, refusal, queue);
        if (kind === "refuse") {
            return Left({ ...refusal, retryAfterSeconds: waitMs / MS_PER_SECOND });
        }
        return new Promise(settle => {
            queue.push({ ...request, settle });
            if (queue.length === 1) {
                queues.set(organisation.id, queue);
                schedule(Math.max(MIN_WAIT_MS, waitMs), () => serve(organisation.id));
            }
        });
    };
    return { charge };
}
