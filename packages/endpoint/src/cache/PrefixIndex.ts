import { invariant } from "@azureshunt/core";
import type { EndpointName, Incarnation, Millis, PieceHash } from "@azureshunt/core";

import type { CacheEvent } from "./CacheEvent.js";
import type { CacheEventOutcome } from "./CacheEventOutcome.js";
import type { CacheSnapshot } from "./CacheSnapshot.js";
import type { HashWords } from "./HashWords.js";
import { IndexPartition } from "./IndexPartition.js";
import type { SlotNumber } from "./SlotNumber.js";
import { wordsOfHash } from "./wordsOfHash.js";

const MAX_SLOT = 0xfffe;
/** Events kept for a resync; when there are more, the next resync is followed by another one. */
const MAX_PENDING = 1_024;

/** One run of one endpoint. */
type Run = {
    readonly slot: SlotNumber;
    readonly incarnation: Incarnation;
    /** Number of the last event known. */
    seq: number;
    /** Whether events were lost since the last resync. */
    doubtful: boolean;
    /** Events that came while doubtful, to be applied after the snapshot. */
    pending: CacheEvent[];
};

/**
 * Which endpoints hold which pieces of prompts.
 *
 * Entries belong to one run of an endpoint. Guard against entries of a dead engine: an engine that crashed comes back
 * on the same address with an empty cache, while events from before the crash still arrive. Entries of the former run
 * sit under a slot that is never looked up again, and late events carry the former incarnation and are dropped.
 */
export class PrefixIndex {
    readonly #partition = new IndexPartition();
    readonly #runs = new Map<EndpointName, Run>();
    readonly #freeSlots: SlotNumber[] = [];
    #nextSlot = 1;

    /** Rows in use. */
    get size(): number {
        return this.#partition.size;
    }

    /** Bytes of the table. */
    get bytes(): number {
        return this.#partition.bytes;
    }

    /** Starts a run of an endpoint with an empty cache; all entries of an earlier run are gone. */
    begin(endpoint: EndpointName, incarnation: Incarnation): void {
        if (this.#runs.get(endpoint)?.incarnation === incarnation) {
            return;
        }
        this.forget(endpoint);
        this.#runs.set(endpoint, { slot: this.#takeSlot(), incarnation, seq: 0, doubtful: true, pending: [] });
    }

    /** Drops an endpoint and all its entries. */
    forget(endpoint: EndpointName): void {
        const run = this.#runs.get(endpoint);
        if (run !== undefined) {
            this.#partition.removeSlot(run.slot, false);
            this.#runs.delete(endpoint);
            this.#freeSlots.push(run.slot);
        }
    }

    /** Applies one cache event. A `gap` asks the caller for a resync. */
    apply(endpoint: EndpointName, event: CacheEvent): CacheEventOutcome {
        const run = this.#runs.get(endpoint);
        if (run === undefined || run.incarnation !== event.incarnation) {
            return "other-incarnation";
        }
        if (event.seq <= run.seq) {
            return "repeated";
        }
        const isNext = event.seq === run.seq + 1;
        run.doubtful ||= !isNext;
        run.seq = event.seq;
        if (run.doubtful) {
            run.pending = [...run.pending, event].slice(-MAX_PENDING);
        }
        this.#change(run.slot, event);
        return isNext ? "applied" : "gap";
    }

    /**
     * Replaces an endpoint's confirmed entries by a snapshot and applies the events that came after it.
     *
     * @returns whether the entries are trustworthy now; when not, events after the snapshot were lost
     */
    resync(endpoint: EndpointName, snapshot: CacheSnapshot): boolean {
        const run = this.#runs.get(endpoint);
        if (run === undefined || run.incarnation !== snapshot.incarnation) {
            return false;
        }
        const later = run.pending.filter(event => event.seq > snapshot.seq);
        // A snapshot older than what is applied already, with the events between not at hand, would turn time back.
        const bridged = later.every((event, i) => event.seq === snapshot.seq + 1 + i);
        const reaches = snapshot.seq + later.length >= run.seq;
        if (!bridged || !reaches) {
            return false;
        }
        this.#partition.removeSlot(run.slot, true);
        snapshot.hashes.forEach(hash => this.#partition.confirm(wordsOfHash(hash), run.slot));
        later.forEach(event => this.#change(run.slot, event));
        run.seq = snapshot.seq + later.length;
        run.doubtful = false;
        run.pending = [];
        return true;
    }

    /** Marks an endpoint's entries doubtful, as after a broken event stream. */
    doubt(endpoint: EndpointName): void {
        const run = this.#runs.get(endpoint);
        if (run !== undefined) {
            run.doubtful = true;
        }
    }

    /** Whether an endpoint's entries wait for a resync. */
    isDoubtful(endpoint: EndpointName): boolean {
        return this.#runs.get(endpoint)?.doubtful ?? true;
    }

    /** The run that the endpoint's entries belong to. */
    incarnationOf(endpoint: EndpointName): Incarnation | undefined {
        return this.#runs.get(endpoint)?.incarnation;
    }

    /** Number of the last event known of the endpoint's run; 0 before the first. */
    seqOf(endpoint: EndpointName): number {
        return this.#runs.get(endpoint)?.seq ?? 0;
    }

    /** Notes that a prompt was sent to a run of an endpoint, which will hold its pieces unless it says otherwise. */
    assume(endpoint: EndpointName, incarnation: Incarnation, pieces: readonly PieceHash[], expiresAt: Millis): void {
        const run = this.#runs.get(endpoint);
        if (run?.incarnation === incarnation) {
            pieces.forEach(piece => this.#partition.assume(wordsOfHash(piece), run.slot, expiresAt));
        }
    }

    /**
     * Counts the leading pieces of a prompt that each endpoint holds.
     *
     * @param pieces the prompt's hashes, first piece first
     * @param endpoints the endpoints asked about
     * @returns one count an endpoint, in the order of `endpoints`
     */
    match(pieces: readonly PieceHash[], endpoints: readonly EndpointName[], now: Millis): readonly number[] {
        const chain = pieces.map(wordsOfHash);
        return endpoints.map(endpoint => this.#matchOne(chain, this.#runs.get(endpoint), now));
    }

    /** Counts the leading pieces of a prompt that each endpoint itself has said it holds, as `match` does. */
    matchConfirmed(pieces: readonly PieceHash[], endpoints: readonly EndpointName[]): readonly number[] {
        // Only confirmed entries outlast every time.
        return this.match(pieces, endpoints, Number.MAX_VALUE);
    }

    /** Whether the endpoint itself has said that it holds all of these pieces. */
    isConfirmed(pieces: readonly PieceHash[], endpoint: EndpointName): boolean {
        return this.matchConfirmed(pieces, [endpoint])[0] === pieces.length;
    }

    /** Removes expired entries. */
    sweep(now: Millis): void {
        this.#partition.sweep(now);
    }

    #matchOne(chain: readonly HashWords[], run: Run | undefined, now: Millis): number {
        if (run === undefined) {
            return 0;
        }
        const missing = chain.findIndex(piece => !this.#partition.has(piece, run.slot, now));
        return missing === -1 ? chain.length : missing;
    }

    #change(slot: SlotNumber, event: CacheEvent): void {
        switch (event.kind) {
            case "stored":
                event.hashes.forEach(hash => this.#partition.confirm(wordsOfHash(hash), slot));
                break;
            case "removed":
                event.hashes.forEach(hash => this.#partition.remove(wordsOfHash(hash), slot));
                break;
            case "cleared":
                this.#partition.removeSlot(slot, false);
                break;
        }
    }

    #takeSlot(): SlotNumber {
        const slot = this.#freeSlots.shift() ?? this.#nextSlot++;
        invariant(slot <= MAX_SLOT, "EP-001", "a prefix index has at most 65,534 endpoints");
        return slot;
    }
}
