import type { RecordId } from "@azureshunt/core";

import type { LeaseRecord } from "./LeaseRecord.js";

/** Record to append to the lease stream. */
export type LeaseEffect = { readonly kind: "append"; readonly id: RecordId; readonly data: LeaseRecord; };
