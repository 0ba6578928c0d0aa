import { jsonOf } from "@azureshunt/http";
import { z } from "zod";

import type { TopicAnswer } from "./TopicAnswer.js";

/** Records of an answer at most; without content, one takes thirty times its bytes once decoded. */
const MAX_RECORDS = 10_000;

/** Validated before the records are, as that copies them. */
const Records = z.object({ records: z.array(z.unknown()).max(MAX_RECORDS) });

const Answer = z.object({
    end: z.number().int().nonnegative(),
    isWhole: z.boolean(),
    ageMs: z.number().nonnegative(),
    /** Not sent by earlier builds, nor by a relay that has not read the store since it was suspended. */
    readAgeMs: z.number().nonnegative().nullish(),
    records: z.array(z.tuple([z.number().int(), z.string(), z.string().nullable()])),
});

/** Decodes a relay's answer; returns undefined if the body is not a valid one, or has too many records. */
export function decodeTopicAnswer(body: Buffer): TopicAnswer | undefined {
    const json = jsonOf(body);
    const answer = Records.safeParse(json).success ? Answer.safeParse(json) : undefined;
    if (answer?.success !== true) {
        return undefined;
    }
    const records = answer.data.records.map(([offset, key, value]) => ({
        offset,
        key,
        value: value === null ? undefined : Buffer.from(value, "base64"),
    }));
    return { ...answer.data, readAgeMs: answer.data.readAgeMs ?? Infinity, records };
}
