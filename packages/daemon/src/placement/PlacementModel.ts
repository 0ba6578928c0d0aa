import { randomUUID } from "node:crypto";

import type { DispatchId, EndpointName, Incarnation, Millis, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { CacheFetch, Candidate, EndpointEvent } from "@azureshunt/endpoint";
import { refusalFor } from "@azureshunt/endpoint";
import { Left, Right } from "purify-ts";

import { makePlacement } from "./makePlacement.js";
import type { PlacementMessage } from "./PlacementMessage.js";
import type { PlacementParts } from "./PlacementParts.js";
import type { Waiter } from "./Waiter.js";

/** How long assumed entries of the index live beyond the estimated first token, until the engine's event confirms them. */
const ASSUMED_MS = 2_000;
/** Calls that one round of starting looks at. */
const CHOICES_A_ROUND = 16;
/** Bound of a fetch: some time for the connection, and this times what it is expected to take. */
const MIN_FETCH_MS = 100;
const FETCH_FACTOR = 3;
/** How long a call waits for any endpoint to come up before it is refused. */
const NO_ENDPOINT_MS = 1_000;
/** Milliseconds a token of queued work while nothing was observed. */
const FIRST_PACE = 0.02;

/** Takes the placement actor's messages one at a time: keeps what is known of endpoints, and gives waiting calls theirs. */
export class PlacementModel {
    readonly #parts: PlacementParts;

    constructor(parts: PlacementParts) {
        this.#parts = parts;
    }

    /** Handles one message. */
    handle(message: PlacementMessage): void {
        const { book, index, waiting } = this.#parts;
        switch (message.kind) {
            case "configured": {
                const gone = book.configure(message.cfg, this.#parts.now());
                gone.forEach(name => index.forget(name));
                this.#parts.configured(gone);
                break;
            }
            case "place":
                this.#place(message.waiter);
                return;
            case "abandoned":
                waiting.remove(message.id)?.settle(Left(refusalOf("caller-gone", undefined, { ran: "no" })));
                return;
            case "endpoint":
                this.#apply(message.endpoint, message.event);
                break;
            case "cache-event": {
                const outcome = index.apply(message.endpoint, message.event);
                this.#parts.metrics.cacheEvent(outcome);
                if (outcome === "gap") {
                    this.#parts.resync(message.endpoint, false);
                }
                break;
            }
            case "cache-snapshot":
                index.resync(message.endpoint, message.snapshot);
                break;
            case "computing-elsewhere":
                index.assume(message.endpoint, message.incarnation, message.pieces, message.expectedAt + ASSUMED_MS);
                this.#parts.computing.heard(message.endpoint, message.pieces, message.expectedAt);
                break;
            case "tick":
                this.#expire();
                this.#drain();
                break;
            case "sweep":
                this.#sweep();
                break;
        }
    }

    #apply(endpoint: EndpointName, event: EndpointEvent): void {
        const { book, index, metrics, probe, computing } = this.#parts;
        if (event.kind === "first-token" || event.kind === "ended") {
            computing.end(event.dispatchId);
        }
        book.apply(endpoint, event, this.#parts.now()).forEach(effect => {
            switch (effect.kind) {
                case "begin-cache":
                    metrics.runChanged();
                    index.begin(endpoint, effect.incarnation);
                    this.#parts.resync(endpoint, true);
                    break;
                case "probe":
                    probe(endpoint);
                    break;
                case "share-speed":
                    this.#parts.shareSpeed(endpoint, effect.msPerToken);
                    break;
            }
        });
    }

    #place(waiter: Waiter): void {
        const { waiting, chooser, now } = this.#parts;
        const isFirst = waiting.size === 0;
        waiting.add(waiter);
        if (isFirst) {
            this.#drain();
        }
        if (waiting.has(waiter.item.id)) {
            const choice = chooser.choose(waiter.call, waiter.tried, now());
            this.#refuseIfLate(waiter, Math.min(...choice?.candidates.map(each => each.estimate.wait) ?? [0]));
        }
    }

    /**
     * Starts waiting calls in the queue's order until none can start. With many waiting, choices would take all of the
     * daemon's time, so a round looks at some of them only; what is behind those comes later anyway.
     */
    #drain(): void {
        const { waiting, chooser, now } = this.#parts;
        const round = { left: CHOICES_A_ROUND };
        const started = { candidates: [] as readonly Candidate[], chosen: undefined as Candidate | undefined };
        const canStart = (waiter: Waiter): boolean => {
            if (round.left === 0) {
                return false;
            }
            round.left--;
            const choice = chooser.choose(waiter.call, waiter.tried, now());
            started.candidates = choice?.candidates ?? [];
            started.chosen = choice?.chosen;
            return choice?.startsNow === true;
        };
        const startNext = (): void => {
            const before = now();
            const waiter = waiting.take(canStart, before);
            if (waiter !== undefined && started.chosen !== undefined) {
                this.#start(waiter, started.chosen, started.candidates, now() - before);
                startNext();
            }
        };
        startNext();
    }

    #start(waiter: Waiter, chosen: Candidate, candidates: readonly Candidate[], choiceMs: Millis): void {
        const { book, chooser, choices, metrics, now } = this.#parts;
        const { call } = waiter;
        const waitedMs = now() - waiter.item.arrivedAt;
        const dispatchId = randomUUID() as string as DispatchId;
        const state = book.stateOf(chosen.endpoint)!;
        chooser.took();
        metrics.placed(waitedMs, choiceMs, chosen.estimate.total);
        choices.add(call.id, { at: now(), waitedMs, chosen: chosen.endpoint, candidates });
        this.#apply(chosen.endpoint, {
            kind: "dispatched",
            dispatchId,
            prefillTokens: this.#uncached(waiter, chosen),
            backlogTokens: chosen.load.prefillTokens,
        });
        if (state.incarnation !== undefined) {
            this.#expectPieces(waiter, chosen, dispatchId, state.incarnation);
        }
        const placement = makePlacement({
            call,
            chosen,
            dispatchId,
            url: state.url,
            incarnation: state.incarnation,
            metrics,
            now,
            tell: event => this.#parts.tell({ kind: "endpoint", endpoint: chosen.endpoint, event }),
        });
        if (chosen.fetch === undefined) {
            waiter.settle(Right(placement));
        }
        else {
            void this.#fetch(waiter, chosen, chosen.fetch).then(() => waiter.settle(Right(placement)));
        }
    }

    /** Lets the chosen endpoint fetch cached pieces, for no longer than computing them would take. */
    async #fetch(waiter: Waiter, chosen: Candidate, fetch: CacheFetch): Promise<void> {
        const { book, metrics, now } = this.#parts;
        const { target } = waiter.call;
        const to = book.stateOf(chosen.endpoint);
        const from = book.stateOf(fetch.from);
        if (target.kind === "service" || to === undefined || from === undefined) {
            return;
        }
        const begun = now();
        const pieces = target.pieces.slice(0, fetch.pieces);
        const timeoutMs = Math.ceil(MIN_FETCH_MS + FETCH_FACTOR * chosen.estimate.fetch);
        const held = await this.#parts.fetch({ url: to.url, from: from.url, pieces, timeoutMs });
        const fetched = Math.max(0, held - chosen.matchedPieces);
        this.#parts.fetches.observe(fetched, now() - begun, now());
        metrics.fetched(fetched, fetch.pieces - chosen.matchedPieces, now() - begun);
    }

    #uncached(waiter: Waiter, chosen: Candidate): number {
        const { target } = waiter.call;
        const heldPieces = chosen.fetch?.pieces ?? chosen.matchedPieces;
        return target.kind === "service" ? 0 : Math.max(1, target.promptTokens - heldPieces * target.pieceTokens);
    }

    #expectPieces(waiter: Waiter, chosen: Candidate, dispatchId: DispatchId, incarnation: Incarnation): void {
        const { target } = waiter.call;
        if (target.kind === "service") {
            return;
        }
        const { index, computing, now, announce } = this.#parts;
        const expiresAt = now() + chosen.estimate.total + ASSUMED_MS;
        const missing = target.pieces.slice(chosen.matchedPieces);
        index.assume(chosen.endpoint, incarnation, target.pieces, expiresAt);
        computing.begin(dispatchId, chosen.endpoint, missing, expiresAt);
        announce({
            endpoint: chosen.endpoint,
            incarnation,
            prefillTokens: this.#uncached(waiter, chosen),
            pieces: missing,
            sentAt: now(),
            expectedMs: chosen.estimate.total,
        });
    }

    /** Refuses the calls whose deadline is over. */
    #expire(): void {
        const { waiting, now } = this.#parts;
        waiting.all()
            .filter(waiter => waiter.call.deadline <= now())
            .forEach(waiter => {
                waiting.remove(waiter.item.id);
                this.#refuse(waiter, refusalOf("deadline-exceeded"));
            });
    }

    #sweep(): void {
        const { computing, waiting, index, now } = this.#parts;
        computing.sweep(now());
        index.sweep(now());
        waiting.all().forEach(waiter => this.#refuseIfLate(waiter, 0));
    }

    /**
     * Refuses a waiting call as soon as it is known that it cannot start in time.
     *
     * @param endpointWait estimated milliseconds of queue at the best endpoint, with nothing waiting here
     */
    #refuseIfLate(waiter: Waiter, endpointWait: Millis): void {
        const refusal = this.#refusalOf(waiter, endpointWait);
        if (refusal !== undefined) {
            this.#parts.waiting.remove(waiter.item.id);
            this.#refuse(waiter, refusal);
        }
    }

    #refusalOf(waiter: Waiter, endpointWait: Millis): Refusal | undefined {
        const { book, waiting, now } = this.#parts;
        const { call } = waiter;
        if (book.eligibleFor(call).length === 0) {
            const until = Math.min(call.deadline, waiter.item.arrivedAt + NO_ENDPOINT_MS);
            return now() < until ? undefined : refusalOf("no-endpoint");
        }
        const queueWait = waiting.waitOf(waiter, FIRST_PACE);
        return refusalFor({ now: now(), deadline: call.deadline, queueWait, endpointWait });
    }

    #refuse(waiter: Waiter, refusal: Refusal): void {
        this.#parts.metrics.refused(refusal.kind);
        waiter.settle(Left(refusal));
    }
}
