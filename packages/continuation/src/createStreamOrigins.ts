import type { Millis } from "@azureshunt/core";

import type { KnownOrigin } from "./KnownOrigin.js";
import type { StreamId } from "./StreamId.js";
import type { StreamOrigin } from "./StreamOrigin.js";

/** A bounded table of streams that have begun. */
type StreamOrigins = {
    /** Adds what is known of a stream. The oldest ones are removed if the table is full, and are unknown from then on. */
    readonly record: (id: StreamId, known: KnownOrigin, now: Millis) => void;
    /** @returns undefined if nothing is known of the stream, or its caller has given up */
    readonly find: (id: StreamId, now: Millis) => KnownOrigin | undefined;
    /** All streams that can still be taken up. */
    readonly all: (now: Millis) => readonly (readonly [StreamId, KnownOrigin])[];
    readonly size: () => number;
};

const isSame = (a: StreamOrigin | "ambiguous", b: StreamOrigin | "ambiguous"): boolean =>
    a === "ambiguous" || b === "ambiguous"
        ? a === b
        : a.service === b.service && a.softwareVersion === b.softwareVersion &&
            (a.softwareVersion !== undefined ||
                (a.first?.name === b.first?.name && a.first?.bornAt === b.first?.bornAt));

/**
 * Creates an empty table.
 *
 * @param limit streams that it holds at most
 */
export function createStreamOrigins(limit: number): StreamOrigins {
    const streams = new Map<StreamId, KnownOrigin>();
    const removeOldest = (now: Millis): void => {
        for (const [id, { expiresAt }] of streams) {
            if (expiresAt > now && streams.size <= limit) {
                return;
            }
            streams.delete(id);
        }
    };
    const find: StreamOrigins["find"] = (id, now) => {
        const known = streams.get(id);
        return known === undefined || known.expiresAt <= now ? undefined : known;
    };
    return {
        record: (id, known, now) => {
            const before = find(id, now);
            const origin = before === undefined || isSame(before.origin, known.origin) ? known.origin : "ambiguous";
            streams.delete(id);
            streams.set(id, { origin, expiresAt: Math.max(known.expiresAt, before?.expiresAt ?? -Infinity) });
            removeOldest(now);
        },
        find,
        all: now => [...streams].filter(([, { expiresAt }]) => expiresAt > now),
        size: () => streams.size,
    };
}
