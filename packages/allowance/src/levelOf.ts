import type { Tokens } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { outstandingOf } from "./outstandingOf.js";

/** All tokens of a bucket that may still be spent: its balance and what stands out under grants. */
export function levelOf(bucket: Bucket): Tokens {
    return bucket.balance + outstandingOf(bucket);
}
