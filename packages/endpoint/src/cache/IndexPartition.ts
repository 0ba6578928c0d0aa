import type { Millis } from "@azureshunt/core";

import type { HashWords } from "./HashWords.js";
import type { SlotNumber } from "./SlotNumber.js";

const WORDS = 4;
const EMPTY = 0;
const REMOVED = 0xffff;
const MIN_CAPACITY = 1_024;
/** Fraction of rows in use or removed above which the table is rebuilt. */
const MAX_FILL_FRACTION = 0.6;
/** Maximum fraction of rows in use right after a rebuild. */
const INITIAL_FILL_FRACTION = 0.35;
/** Expiry of a confirmed row, which never expires. */
const CONFIRMED = Infinity;

const nextPowerOfTwo = (n: number): number => 2 ** Math.ceil(Math.log2(n));

/**
 * One partition of a prefix index: rows of (piece hash, endpoint's slot, expiry) in an open-addressed hash table of
 * typed arrays, 26 bytes per row. A row is confirmed by a cache event of the endpoint, or assumed until it expires.
 */
export class IndexPartition {
    #capacity = MIN_CAPACITY;
    #hashes = new Uint32Array(MIN_CAPACITY * WORDS);
    #slots = new Uint16Array(MIN_CAPACITY);
    #expiries = new Float64Array(MIN_CAPACITY);
    #used = 0;
    #removed = 0;

    /** Number of rows in use, including expired rows that have not been swept yet. */
    get size(): number {
        return this.#used;
    }

    /** Memory of the table in bytes. */
    get bytes(): number {
        return this.#hashes.byteLength + this.#slots.byteLength + this.#expiries.byteLength;
    }

    /** Returns whether the slot's endpoint is known or assumed to hold the piece. */
    has(hash: HashWords, slot: SlotNumber, now: Millis): boolean {
        const row = this.#find(hash, slot);
        return row !== undefined && this.#expiries[row]! > now;
    }

    /** Records that the endpoint reported that it holds the piece. */
    confirm(hash: HashWords, slot: SlotNumber): void {
        this.#put(hash, slot, CONFIRMED);
    }

    /** Records that the endpoint will soon hold the piece; a confirmed row stays confirmed. */
    assume(hash: HashWords, slot: SlotNumber, expiresAt: Millis): void {
        const row = this.#find(hash, slot);
        this.#put(hash, slot, row === undefined ? expiresAt : Math.max(expiresAt, this.#expiries[row]!));
    }

    remove(hash: HashWords, slot: SlotNumber): void {
        const row = this.#find(hash, slot);
        if (row !== undefined) {
            this.#drop(row);
        }
    }

    /** Removes the slot's confirmed rows, and unless `keepAssumed` is set its assumed rows too. */
    removeSlot(slot: SlotNumber, keepAssumed: boolean): void {
        this.#dropWhere(row => this.#slots[row] === slot && !(keepAssumed && this.#expiries[row]! !== CONFIRMED));
    }

    /** Removes expired rows. */
    sweep(now: Millis): void {
        this.#dropWhere(row => this.#expiries[row]! <= now);
    }

    #dropWhere(shouldDrop: (row: number) => boolean): void {
        for (let row = 0; row < this.#capacity; row++) {
            if (this.#isUsed(row) && shouldDrop(row)) {
                this.#drop(row);
            }
        }
    }

    #drop(row: number): void {
        this.#slots[row] = REMOVED;
        this.#used--;
        this.#removed++;
    }

    #isUsed(row: number): boolean {
        return this.#slots[row] !== EMPTY && this.#slots[row] !== REMOVED;
    }

    #holds(row: number, hash: HashWords): boolean {
        const at = row * WORDS;
        const hashes = this.#hashes;
        return hashes[at] === hash[0] && hashes[at + 1] === hash[1] && hashes[at + 2] === hash[2]
            && hashes[at + 3] === hash[3];
    }

    /** Spreads rows of the same hash by slot, so that a piece held by many endpoints causes no long probe sequence. */
    #startOf(hash: HashWords, slot: SlotNumber): number {
        return (hash[3] ^ Math.imul(slot, 0x9e3779b1)) & (this.#capacity - 1);
    }

    #find(hash: HashWords, slot: SlotNumber): number | undefined {
        const mask = this.#capacity - 1;
        for (let row = this.#startOf(hash, slot); this.#slots[row] !== EMPTY; row = (row + 1) & mask) {
            if (this.#slots[row] === slot && this.#holds(row, hash)) {
                return row;
            }
        }
        return undefined;
    }

    #put(hash: HashWords, slot: SlotNumber, expiresAt: Millis): void {
        const known = this.#find(hash, slot);
        if (known !== undefined) {
            this.#expiries[known] = expiresAt;
            return;
        }
        if (this.#used + this.#removed + 1 > this.#capacity * MAX_FILL_FRACTION) {
            this.#rebuild();
        }
        this.#write(hash, slot, expiresAt);
    }

    #write(hash: HashWords, slot: SlotNumber, expiresAt: Millis): void {
        const mask = this.#capacity - 1;
        let row = this.#startOf(hash, slot);
        while (this.#isUsed(row)) {
            row = (row + 1) & mask;
        }
        if (this.#slots[row] === REMOVED) {
            this.#removed--;
        }
        this.#hashes.set(hash, row * WORDS);
        this.#slots[row] = slot;
        this.#expiries[row] = expiresAt;
        this.#used++;
    }

    #rebuild(): void {
        const { hashes, slots, expiries } = { hashes: this.#hashes, slots: this.#slots, expiries: this.#expiries };
        this.#capacity = Math.max(MIN_CAPACITY, nextPowerOfTwo((this.#used + 1) / INITIAL_FILL_FRACTION));
        this.#hashes = new Uint32Array(this.#capacity * WORDS);
        this.#slots = new Uint16Array(this.#capacity);
        this.#expiries = new Float64Array(this.#capacity);
        this.#used = 0;
        this.#removed = 0;
        slots.forEach((slot, row) => {
            if (slot !== EMPTY && slot !== REMOVED) {
                const at = row * WORDS;
                this.#write(
                    [hashes[at]!, hashes[at + 1]!, hashes[at + 2]!, hashes[at + 3]!],
                    slot,
                    expiries[row]!,
                );
            }
        });
    }
}
