import { Either } from "purify-ts";

import { parseAnswer } from "../peers/parseAnswer.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import { applyQuarantine } from "./applyQuarantine.js";
import { QuarantineMessage } from "./QuarantineMessage.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";

const QUERY_INTERVAL_MS = 1_000;
const QUERY_TIMEOUT_MS = 800;
const MAX_ROUNDS = 30;

/** Peers that are queried and have to answer; more than one, because a peer may have been restarted itself. */
const REQUIRED_ANSWERS = 3;

/**
 * Learns from peers, after a start, which requests crash endpoints or may do so.
 *
 * A restarted daemon knows of no death and no quarantine, and would let a quarantined request crash two more endpoints.
 * To prevent this, it queries a few peers at once, and again each second until enough have answered.
 *
 * @returns a function that stops the queries
 */
export function learnQuarantines(ctx: DaemonContext, suspects: SuspectAggregate): () => void {
    const progress = { rounds: 0, answers: 0 };

    const query = async (): Promise<void> => {
        const peers = ctx.peers.peers().slice(0, REQUIRED_ANSWERS);
        const answers = await Promise.all(
            peers.map(peer => ctx.peers.exchange(peer.vm, "quarantine", { requests: [] }, QUERY_TIMEOUT_MS)),
        );
        const received = Either.rights(answers.map(answer => parseAnswer(QuarantineMessage, answer)));
        await Promise.all(received.map(message => applyQuarantine(suspects, ctx.clock, message)));
        progress.answers = Math.max(progress.answers, received.length);
        progress.rounds += 1;
        if (progress.answers >= REQUIRED_ANSWERS || progress.rounds >= MAX_ROUNDS) {
            clearInterval(timer);
        }
    };
    const timer = setInterval(() => void query(), QUERY_INTERVAL_MS);
    timer.unref();
    void query();
    return () => clearInterval(timer);
}
