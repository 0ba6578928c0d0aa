import { randomUUID } from "node:crypto";

import type { DispatchId, EndpointName, Incarnation, Millis, Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { CacheFetch, Candidate, EndpointEvent } from "@azureshunt/endpoint";
import { refusalFor } from "@azureshunt/endpoint";
import { Left, Right } from "purify-ts";

import { createPlacement } from "./createPlacement.js";
import type { PlacementMessage } from "./PlacementMessage.js";
import type { PlacementParts } from "./PlacementParts.js";
import type { Waiter } from "./Waiter.js";

/**
 * How long assumed entries of the index last after the estimated first token, unless the engine's event confirms them.
 */
const ASSUMED_MS = 2_000;
/** Choices made in one round of starting waiting calls. */
const MAX_CHOICES_PER_ROUND = 16;
/** Timeout of a fetch: a time for the connection, plus the expected time of the fetch multiplied by a factor. */
const FETCH_CONNECT_MS = 100;
const FETCH_FACTOR = 3;
/** How long a call waits for an eligible endpoint before it is refused. */
const MAX_NO_ENDPOINT_MS = 1_000;
/** Assumed wait per token of queued work until waits have been observed. */
const DEFAULT_WAIT_MS_PER_TOKEN = 0.02;

/**
 * Handles the placement actor's messages one at a time: keeps the state of endpoints and assigns them to waiting calls.
 */
export class PlacementModel {
    readonly #parts: PlacementParts;

    constructor(parts: PlacementParts) {
        this.#parts = parts;
    }

    /** Handles one message. */
    handle(message: PlacementMessage): void {
        const { endpointTable, index, waiting } = this.#parts;
        switch (message.kind) {
            case "configured": {
                const gone = endpointTable.configure(message.cfg, this.#parts.now());
                gone.forEach(name => index.forget(name));
                this.#parts.updateWatches(gone);
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
                this.#parts.computing.beginElsewhere(message.endpoint, message.pieces, message.expectedAt);
                break;
            case "tick":
                this.#refuseExpired();
                this.#startWaiting();
                break;
            case "sweep":
                this.#sweep();
                break;
        }
    }

    #apply(endpoint: EndpointName, event: EndpointEvent): void {
        const { endpointTable, index, metrics, probe, computing } = this.#parts;
        if (event.kind === "first-token" || event.kind === "ended") {
            computing.end(event.dispatchId);
        }
        endpointTable.apply(endpoint, event, this.#parts.now()).forEach(effect => {
            switch (effect.kind) {
                case "begin-cache":
                    metrics.incarnationChanged();
                    index.startIncarnation(endpoint, effect.incarnation);
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
            this.#startWaiting();
        }
        if (waiting.has(waiter.item.id)) {
            const choice = chooser.choose(waiter.call, waiter.tried, now());
            this.#refuseIfLate(waiter, Math.min(...choice?.candidates.map(each => each.estimate.wait) ?? [0]));
        }
    }

    /**
     * Starts waiting calls in the queue's order until none can start. With many calls waiting, choices would take all
     * of the daemon's time, so the number of choices per round is limited; calls further back would start later anyway.
     */
    #startWaiting(): void {
        const { waiting, chooser, now } = this.#parts;
        const round = { left: MAX_CHOICES_PER_ROUND };
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
            const startedAt = now();
            const waiter = waiting.take(canStart, startedAt);
            if (waiter !== undefined && started.chosen !== undefined) {
                this.#start(waiter, started.chosen, started.candidates, now() - startedAt);
                startNext();
            }
        };
        startNext();
    }

    #start(waiter: Waiter, chosen: Candidate, candidates: readonly Candidate[], choiceMs: Millis): void {
        const { endpointTable, chooser, choices, metrics, now } = this.#parts;
        const { call } = waiter;
        const waitedMs = now() - waiter.item.arrivedAt;
        const dispatchId = randomUUID() as string as DispatchId;
        const state = endpointTable.stateOf(chosen.endpoint)!;
        chooser.countChoice();
        metrics.placed(waitedMs, choiceMs, chosen.estimate.total);
        choices.add(call.id, { at: now(), waitedMs, chosen: chosen.endpoint, candidates });
        this.#apply(chosen.endpoint, {
            kind: "dispatched",
            dispatchId,
            prefillTokens: this.#uncachedTokens(waiter, chosen),
            backlogTokens: chosen.load.prefillTokens,
        });
        if (state.incarnation !== undefined) {
            this.#assumePieces(waiter, chosen, dispatchId, state.incarnation);
        }
        const placement = createPlacement({
            call,
            chosen,
            dispatchId,
            url: state.url,
            incarnation: state.incarnation,
            metrics,
            now,
            onEvent: event => this.#parts.post({ kind: "endpoint", endpoint: chosen.endpoint, event }),
        });
        if (chosen.fetch === undefined) {
            waiter.settle(Right(placement));
        }
        else {
            void this.#fetch(waiter, chosen, chosen.fetch).then(() => waiter.settle(Right(placement)));
        }
    }

    /** Makes the chosen endpoint fetch cached pieces, for no longer than computing them would take. */
    async #fetch(waiter: Waiter, chosen: Candidate, fetch: CacheFetch): Promise<void> {
        const { endpointTable, metrics, now } = this.#parts;
        const { target } = waiter.call;
        const to = endpointTable.stateOf(chosen.endpoint);
        const from = endpointTable.stateOf(fetch.from);
        if (target.kind === "service" || to === undefined || from === undefined) {
            return;
        }
        const startedAt = now();
        const pieces = target.pieces.slice(0, fetch.pieces);
        const timeoutMs = Math.ceil(FETCH_CONNECT_MS + FETCH_FACTOR * chosen.estimate.fetch);
        const held = await this.#parts.fetch({ url: to.url, from: from.url, pieces, timeoutMs });
        const fetched = Math.max(0, held - chosen.matchedPieces);
        this.#parts.fetches.observe(fetched, now() - startedAt, now());
        metrics.fetched(fetched, fetch.pieces - chosen.matchedPieces, now() - startedAt);
    }

    #uncachedTokens(waiter: Waiter, chosen: Candidate): number {
        const { target } = waiter.call;
        const heldPieces = chosen.fetch?.pieces ?? chosen.matchedPieces;
        return target.kind === "service" ? 0 : Math.max(1, target.promptTokens - heldPieces * target.pieceTokens);
    }

    /** Assumes in the index that the endpoint will cache the call's pieces, and announces the dispatch to other VMs. */
    #assumePieces(waiter: Waiter, chosen: Candidate, dispatchId: DispatchId, incarnation: Incarnation): void {
        const { target } = waiter.call;
        if (target.kind === "service") {
            return;
        }
        const { index, computing, now, shareDispatch } = this.#parts;
        const expiresAt = now() + chosen.estimate.total + ASSUMED_MS;
        const missing = target.pieces.slice(chosen.matchedPieces);
        index.assume(chosen.endpoint, incarnation, target.pieces, expiresAt);
        computing.begin(dispatchId, chosen.endpoint, missing, expiresAt);
        shareDispatch({
            endpoint: chosen.endpoint,
            incarnation,
            prefillTokens: this.#uncachedTokens(waiter, chosen),
            pieces: missing,
            sentAt: now(),
            expectedMs: chosen.estimate.total,
        });
    }

    /** Refuses the waiting calls whose deadline has passed. */
    #refuseExpired(): void {
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
     * Refuses a waiting call as soon as the estimates show that it cannot start in time.
     *
     * @param endpointWait estimated wait at the best endpoint, without the queue of this daemon
     */
    #refuseIfLate(waiter: Waiter, endpointWait: Millis): void {
        const refusal = this.#refusalOf(waiter, endpointWait);
        if (refusal !== undefined) {
            this.#parts.waiting.remove(waiter.item.id);
            this.#refuse(waiter, refusal);
        }
    }

    #refusalOf(waiter: Waiter, endpointWait: Millis): Refusal | undefined {
        const { endpointTable, waiting, now } = this.#parts;
        const { call } = waiter;
        if (endpointTable.eligibleFor(call).length === 0) {
            const until = Math.min(call.deadline, waiter.item.arrivedAt + MAX_NO_ENDPOINT_MS);
            return now() < until ? undefined : refusalOf("no-endpoint");
        }
        const queueWait = waiting.waitOf(waiter, DEFAULT_WAIT_MS_PER_TOKEN);
        return refusalFor({ now: now(), deadline: call.deadline, queueWait, endpointWait });
    }

    #refuse(waiter: Waiter, refusal: Refusal): void {
        this.#parts.metrics.refused(refusal.kind);
        waiter.settle(Left(refusal));
    }
}
