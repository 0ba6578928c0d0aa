import { RecordId } from "@azureshunt/core";

import type { ConfigurationRecord } from "../../ConfigurationRecord.js";

/** Builds a log record whose time depends only on its offset. */
export function recordOf(offset: number, id: string, data: unknown): ConfigurationRecord {
    return { offset, id: RecordId.parse(id), at: 1_000 + offset, data };
}
