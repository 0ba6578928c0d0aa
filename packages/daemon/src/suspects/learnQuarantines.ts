import type { DaemonContext } from "../ports/DaemonContext.js";
import { QuarantineMessage } from "./QuarantineMessage.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import { takeQuarantine } from "./takeQuarantine.js";

const ASK_EVERY_MS = 1_000;
const ASK_BOUND_MS = 800;
const MAX_ROUNDS = 30;

/** Peers asked; more than one, as one may have been restarted itself. */
const ENOUGH_ANSWERS = 3;

/**
 * Learns from peers, after a start, which requests crash endpoints or may do so.
 *
 * Failure: a daemon is restarted, knows of no death and no quarantine, and lets the request crash two more endpoints. Guard: it asks a
 * few peers at once and each second until enough have answered.
 *
 * @returns a function that ends it
 */
export function learnQuarantines(ctx: DaemonContext, suspects: SuspectAggregate): () => void {
    const progress = { rounds: 0, answers: 0 };

    const ask = async (): Promise<void> => {
        const peers = ctx.peers.peers().slice(0, ENOUGH_ANSWERS);
        const answers = await Promise.all(
            peers.map(peer => ctx.peers.exchange(peer.vm, "quarantine", { requests: [] }, ASK_BOUND_MS)),
        );
        const told = answers.flatMap(answer => answer.map(body => [QuarantineMessage.parse(body)]).orDefault([]));
        await Promise.all(told.map(message => takeQuarantine(suspects, ctx.clock, message)));
        progress.answers = Math.max(progress.answers, told.length);
        progress.rounds += 1;
        if (progress.answers >= ENOUGH_ANSWERS || progress.rounds >= MAX_ROUNDS) {
            clearInterval(timer);
        }
    };
    const timer = setInterval(() => void ask(), ASK_EVERY_MS);
    timer.unref();
    void ask();
    return () => clearInterval(timer);
}
