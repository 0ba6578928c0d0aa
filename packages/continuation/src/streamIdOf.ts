import { createHash } from "node:crypto";

import type { OrganisationId, RequestId } from "@azureshunt/core";

import type { StreamId } from "./StreamId.js";

/** 96 bits in base64. */
const ID_CHARS = 16;

/**
 * Returns the id of the stream that a caller's attempt began.
 *
 * Request ids come from callers and may be long, or the same for two organisations. The result is short, and a caller
 * that names an attempt of another organisation names a stream that does not exist.
 */
export function streamIdOf(organisation: OrganisationId | undefined, request: RequestId): StreamId {
    return createHash("sha256")
        .update(`${organisation ?? ""}\0${request}`)
        .digest("base64url")
        .slice(0, ID_CHARS) as StreamId;
}
