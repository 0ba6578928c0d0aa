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
/** Maximum number of events kept for a resync; if more arrive, the next resync may fail and is repeated. */
const MAX_PENDING_EVENTS = 1_024;

/** What is known of the cache of an endpoint's current incarnation. */
type CachedIncarnation = {
    readonly slot: SlotNumber;
    readonly incarnation: Incarnation;
    /** Number of the last known event. */
    seq: number;
    /** Whether events may have been lost since the last resync. */
    needsResync: boolean;
    /** Events received while a resync is needed, to be applied after its snapshot. */
    pending: CacheEvent[];
};

/**
 * Index of the pieces of prompts that each endpoint holds.
 *
 * After a crash, an engine comes back on the same address with an empty cache while events from before the crash still
 * arrive. To prevent matches with entries of the dead engine, every entry belongs to one incarnation of an endpoint:
 * entries of the previous incarnation are removed when a new one starts, and late events carry the previous incarnation
 * and are dropped.
 */
export class PrefixIndex {
    readonly #partition = new IndexPartition();
    readonly #current = new Map<EndpointName, CachedIncarnation>();
    readonly #freeSlots: SlotNumber[] = [];
    #nextSlot = 1;

    /** Number of rows in use. */
    get size(): number {
        return this.#partition.size;
    }

    /** Memory of the table in bytes. */
    get bytes(): number {
        return this.#partition.bytes;
    }

    /** Starts an incarnation of an endpoint with an empty cache and removes all entries of the previous one. */
    startIncarnation(endpoint: EndpointName, incarnation: Incarnation): void {
        if (this.#current.get(endpoint)?.incarnation === incarnation) {
            return;
        }
        this.forget(endpoint);
        this.#current.set(endpoint, {
            slot: this.#allocateSlot(),
            incarnation,
            seq: 0,
            needsResync: true,
            pending: [],
        });
    }

    /** Removes an endpoint and all its entries. */
    forget(endpoint: EndpointName): void {
        const current = this.#current.get(endpoint);
        if (current !== undefined) {
            this.#partition.removeSlot(current.slot, false);
            this.#current.delete(endpoint);
            this.#freeSlots.push(current.slot);
        }
    }

    /** Applies one cache event. After a `gap`, the caller must resync the endpoint. */
    apply(endpoint: EndpointName, event: CacheEvent): CacheEventOutcome {
        const current = this.#current.get(endpoint);
        if (current === undefined || current.incarnation !== event.incarnation) {
            return "other-incarnation";
        }
        if (event.seq <= current.seq) {
            return "repeated";
        }
        const isNext = event.seq === current.seq + 1;
        current.needsResync ||= !isNext;
        current.seq = event.seq;
        if (current.needsResync) {
            current.pending = [...current.pending, event].slice(-MAX_PENDING_EVENTS);
        }
        this.#applyChange(current.slot, event);
        return isNext ? "applied" : "gap";
    }

    /**
     * Replaces an endpoint's confirmed entries with a snapshot and applies the later events.
     *
     * @returns whether the entries are valid now; if not, the incarnation differs or events since the snapshot are lost
     */
    resync(endpoint: EndpointName, snapshot: CacheSnapshot): boolean {
        const current = this.#current.get(endpoint);
        if (current === undefined || current.incarnation !== snapshot.incarnation) {
            return false;
        }
        const laterEvents = current.pending.filter(event => event.seq > snapshot.seq);
        // Applying a snapshot without all later events up to the newest known one would restore an older state.
        const isContiguous = laterEvents.every((event, i) => event.seq === snapshot.seq + 1 + i);
        const isUpToDate = snapshot.seq + laterEvents.length >= current.seq;
        if (!isContiguous || !isUpToDate) {
            return false;
        }
        this.#partition.removeSlot(current.slot, true);
        snapshot.hashes.forEach(hash => this.#partition.confirm(wordsOfHash(hash), current.slot));
        laterEvents.forEach(event => this.#applyChange(current.slot, event));
        current.seq = snapshot.seq + laterEvents.length;
        current.needsResync = false;
        current.pending = [];
        return true;
    }

    /** Marks an endpoint as needing a resync, for example after its event stream broke. */
    requireResync(endpoint: EndpointName): void {
        const current = this.#current.get(endpoint);
        if (current !== undefined) {
            current.needsResync = true;
        }
    }

    /** Returns whether an endpoint needs a resync; also true for an unknown endpoint. */
    needsResync(endpoint: EndpointName): boolean {
        return this.#current.get(endpoint)?.needsResync ?? true;
    }

    /** Returns the incarnation that the endpoint's entries belong to. */
    incarnationOf(endpoint: EndpointName): Incarnation | undefined {
        return this.#current.get(endpoint)?.incarnation;
    }

    /** Returns the number of the last known event of the endpoint's incarnation; 0 before the first event. */
    seqOf(endpoint: EndpointName): number {
        return this.#current.get(endpoint)?.seq ?? 0;
    }

    /** Records that a prompt was sent to an endpoint, which then holds its pieces unless its events say otherwise. */
    assume(endpoint: EndpointName, incarnation: Incarnation, pieces: readonly PieceHash[], expiresAt: Millis): void {
        const current = this.#current.get(endpoint);
        if (current?.incarnation === incarnation) {
            pieces.forEach(piece => this.#partition.assume(wordsOfHash(piece), current.slot, expiresAt));
        }
    }

    /**
     * Counts the leading pieces of a prompt that each endpoint holds.
     *
     * @param pieces the prompt's hashes, first piece first
     * @param endpoints the endpoints to match
     * @returns one count per endpoint, in the order of `endpoints`
     */
    match(pieces: readonly PieceHash[], endpoints: readonly EndpointName[], now: Millis): readonly number[] {
        const chain = pieces.map(wordsOfHash);
        return endpoints.map(endpoint => this.#matchOne(chain, this.#current.get(endpoint), now));
    }

    /** Like `match`, but counts only pieces that the endpoint itself reported. */
    matchConfirmed(pieces: readonly PieceHash[], endpoints: readonly EndpointName[]): readonly number[] {
        // Only confirmed entries never expire.
        return this.match(pieces, endpoints, Number.MAX_VALUE);
    }

    /** Returns whether the endpoint itself reported that it holds all of these pieces. */
    isConfirmed(pieces: readonly PieceHash[], endpoint: EndpointName): boolean {
        return this.matchConfirmed(pieces, [endpoint])[0] === pieces.length;
    }

    /** Removes expired entries. */
    sweep(now: Millis): void {
        this.#partition.sweep(now);
    }

    #matchOne(chain: readonly HashWords[], current: CachedIncarnation | undefined, now: Millis): number {
        if (current === undefined) {
            return 0;
        }
        const missing = chain.findIndex(piece => !this.#partition.has(piece, current.slot, now));
        return missing === -1 ? chain.length : missing;
    }

    #applyChange(slot: SlotNumber, event: CacheEvent): void {
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

    #allocateSlot(): SlotNumber {
        const slot = this.#freeSlots.shift() ?? this.#nextSlot++;
        invariant(slot <= MAX_SLOT, "EP-001", "a prefix index has at most 65,534 endpoints");
        return slot;
    }
}
