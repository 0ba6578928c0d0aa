import type { Either } from "purify-ts";

/** One record of a topic. Topics without keys have `key` empty. */
type StoreRecord = {
    readonly offset: number;
    readonly key: string;
    /** Undefined where the key was dropped. */
    readonly value: Buffer | undefined;
};

/** What a read gives: `end` is the offset of the next record. */
type StorePage = { readonly records: readonly StoreRecord[]; readonly end: number; };

/**
 * Why a call came to nothing.
 *
 * - `unreachable`: the store did nothing.
 * - `lost`: no answer came; a write may have taken effect, or may yet do so.
 * - `expired`: the records asked for are no longer kept; the oldest is at `first`.
 * - `moved`: the topic did not end where the writer thought.
 */
type StoreFailure =
    | { readonly kind: "unreachable" | "lost" | "moved"; }
    | { readonly kind: "expired"; readonly first: number; };

/** The store in which what must last lies: topics of records, with the newest record of each key kept for good. */
export type StorePort = {
    /** The newest record of each key. */
    readonly newest: (topic: string) => Promise<Either<StoreFailure, StorePage>>;
    /** Records from an offset; waits for one up to `waitMs`. */
    readonly read: (topic: string, from: number, waitMs: number) => Promise<Either<StoreFailure, StorePage>>;
    /** Appends one record, only if it gets offset `at`. */
    readonly appendAt: (topic: string, at: number, value: Buffer) => Promise<Either<StoreFailure, number>>;
    /** Writes the newest record of a key. */
    readonly put: (topic: string, key: string, value: Buffer) => Promise<Either<StoreFailure, number>>;
};
