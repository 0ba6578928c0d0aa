import type { Either } from "purify-ts";

import type { StoreFailure } from "./StoreFailure.js";
import type { StorePage } from "./StorePage.js";

/** The store of durable state: topics of records. Topics with keys keep the newest record of each key permanently. */
export type StorePort = {
    /** Reads the newest record of each key. */
    readonly newest: (topic: string) => Promise<Either<StoreFailure, StorePage>>;
    /** Reads the records from an offset on; if there is none, waits up to `waitMs` for one. */
    readonly read: (topic: string, from: number, waitMs: number) => Promise<Either<StoreFailure, StorePage>>;
    /** Appends one record only if it gets offset `at`; returns its offset. */
    readonly appendAt: (topic: string, at: number, value: Buffer) => Promise<Either<StoreFailure, number>>;
    /** Writes the newest record of a key, if `at` is given only if it gets that offset; returns its offset. */
    readonly put: (topic: string, key: string, value: Buffer, at?: number) => Promise<Either<StoreFailure, number>>;
};
