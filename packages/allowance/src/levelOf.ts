import type { Tokens } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { outstandingOf } from "./outstandingOf.js";

/** Returns all tokens of a bucket that may still be spent: its balance plus those outstanding under grants. */
export function levelOf(bucket: Bucket): Tokens {
    return bucket.balance + outstandingOf(bucket);
}
