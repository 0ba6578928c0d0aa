import type { TopicAnswer } from "./TopicAnswer.js";

/** Encodes a relay's answer as JSON with values in base64. */
export function encodeTopicAnswer({ records, end, isWhole, ageMs, readAgeMs }: TopicAnswer): Buffer {
    return Buffer.from(JSON.stringify({
        end,
        isWhole,
        ageMs,
        // Infinity becomes null.
        readAgeMs,
        records: records.map(({ offset, key, value }) => [offset, key, value?.toString("base64") ?? null]),
    }));
}
