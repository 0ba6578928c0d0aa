import type { Either } from "purify-ts";

import type { StoreFailure } from "./StoreFailure.js";
import type { StorePage } from "./StorePage.js";

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
