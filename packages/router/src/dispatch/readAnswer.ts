import type { Clock } from "@azureshunt/core";
import type { FlowBounds } from "@azureshunt/flow";
import { defaultBounds, isStalled } from "@azureshunt/flow";
import { createByteQueue } from "@azureshunt/http";
import { startTimeout } from "@azureshunt/lifecycle";

import type { HeldAccount } from "../flow/HeldAccount.js";
import type { EndChecks } from "./EndChecks.js";
import type { OpenedCall } from "./OpenedCall.js";
import { resolveEnd } from "./resolveEnd.js";

type ReadParts = {
    readonly bounds: FlowBounds;
    readonly clock: Pick<Clock, "now">;
    /** Account of the request whose caller gets the answer, if one does. */
    readonly account?: Pick<
        HeldAccount,
        "add" | "readAhead" | "waitForRoom" | "onBudgetRoom" | "source" | "answerSince"
    >;
    readonly endChecks: EndChecks;
};

/** What a reader gets that checks by the answer's content whether it is whole. */
const DEFAULTS: ReadParts = {
    bounds: defaultBounds,
    clock: { now: () => performance.now() },
    endChecks: { confirm: () => Promise.resolve(true), isTimeUp: () => false },
};

/**
 * Reads an answer to its end.
 *
 * An answer without a length ends with its connection, whatever ended that. The caller would get half of the answer as a
 * success. To prevent this, such an end counts only if it is confirmed.
 *
 * An endpoint may send bytes for as long as they are read. To prevent this, the answer has a bound on its size, and on
 * the time in which it must end or grow once bytes come. An endpoint that sends none may be at work until the deadline.
 *
 * @returns the answer's parts, or undefined if it is incomplete, too large or stalled
 */
export function readAnswer(
    opened: Extract<OpenedCall, { kind: "head"; }>,
    { bounds, clock, account, endChecks }: ReadParts = DEFAULTS,
): Promise<readonly Buffer[] | undefined> {
    const { res } = opened;
    return new Promise(resolve => {
        const queue = createByteQueue();
        const state = {
            bytes: 0,
            hasEnded: false,
            isSettled: false,
            growth: { since: clock.now(), bytes: 0 },
            cancelTimeout: (): void => undefined,
        };
        const settle = (body: readonly Buffer[] | undefined): void => {
            if (state.isSettled) {
                return;
            }
            state.isSettled = true;
            state.cancelTimeout();
            if (account !== undefined) {
                account.onBudgetRoom = undefined;
                account.source = undefined;
            }
            if (body === undefined && account !== undefined) {
                account.add(-state.bytes);
                account.answerSince = undefined;
            }
            resolve(body);
        };
        const fail = (): void => {
            settle(undefined);
            res.destroy();
        };
        const checkGrowth = (): void => {
            const now = clock.now();
            if (res.isPaused()) {
                state.growth = { since: now, bytes: 0 };
            }
            // A timer may fire a fraction of a millisecond early.
            if (state.growth.bytes > 0 && isStalled(state.growth, bounds.progressMs, now + 1)) {
                fail();
                return;
            }
            state.growth = { since: now, bytes: 0 };
            state.cancelTimeout = startTimeout(bounds.progressMs, checkGrowth);
        };
        state.cancelTimeout = startTimeout(bounds.progressMs, checkGrowth);
        if (account !== undefined) {
            account.onBudgetRoom = () => {
                account.source = undefined;
                // The endpoint could send nothing during the pause.
                state.growth = { since: clock.now(), bytes: 0 };
                res.resume();
            };
        }
        const pauseWithoutRoom = (): void => {
            if (account !== undefined && state.bytes > account.readAhead(true)) {
                res.pause();
                account.waitForRoom();
                account.source = res;
            }
        };
        res.on("data", (chunk: Buffer) => {
            if (state.isSettled) {
                return;
            }
            state.bytes += chunk.length;
            state.growth.bytes += chunk.length;
            queue.add(chunk);
            if (account !== undefined) {
                account.answerSince ??= clock.now();
                account.add(chunk.length);
            }
            if (state.bytes > bounds.answerBytes) {
                fail();
                return;
            }
            pauseWithoutRoom();
        });
        const settleUnlessEnded = (): void => {
            if (!state.hasEnded) {
                settle(undefined);
            }
        };
        res.on("error", settleUnlessEnded);
        res.on("close", settleUnlessEnded);
        res.on("end", () => {
            state.hasEnded = true;
            state.cancelTimeout();
            resolveEnd(opened, endChecks, isWhole => settle(isWhole ? queue.takeAll() : undefined));
        });
    });
}
