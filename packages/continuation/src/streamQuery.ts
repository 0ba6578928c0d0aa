import type { StreamId } from "./StreamId.js";

const ID = "id=";

/** Codec of the query that a VM sends to a peer: for one stream, or for the software versions alone. */
const streamQuery = {
    encode: (id: StreamId | undefined): string => id === undefined ? "" : `${ID}${id}`,
    /** @returns undefined if the query names no stream */
    decode: (query: string): StreamId | undefined =>
        query.startsWith(ID) ? query.slice(ID.length) as StreamId : undefined,
};

export { streamQuery };
