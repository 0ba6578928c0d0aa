import { ServiceName } from "@azureshunt/core";
import { jsonOf } from "@azureshunt/http";
import { z } from "zod";

import { encodeOrigin } from "./encodeOrigin.js";
import { OriginRow } from "./OriginRow.js";
import type { StreamKnowledge } from "./StreamKnowledge.js";

/** Sent in place of an age that has no bound, as JSON has no infinity. */
const MAX_AGE_MS = 3_600_000;
const Age = z.number().nonnegative();
const Answer = z.object({
    origin: OriginRow.nullable(),
    isCurrent: z.boolean(),
    histories: z.array(z.object({
        service: ServiceName,
        coveredMs: Age,
        versions: z.array(z.tuple([z.string().nullable(), Age, Age]).rest(z.unknown())),
    })),
});

/** Codec of `StreamKnowledge`. */
const knowledgeJson = {
    encode: ({ origin, isCurrent, histories }: StreamKnowledge): Buffer =>
        Buffer.from(JSON.stringify({
            origin: origin === undefined ? null : encodeOrigin(origin),
            isCurrent,
            histories: histories.map(({ service, coveredMs, versions }) => ({
                service,
                coveredMs: Math.min(MAX_AGE_MS, Math.floor(coveredMs)),
                versions: versions.map(([version, firstMs, lastMs]) => [
                    version ?? null,
                    Math.min(MAX_AGE_MS, Math.floor(firstMs)),
                    Math.floor(lastMs),
                ]),
            })),
        })),
    /** @returns undefined if the body is not valid */
    decode: (body: Buffer): StreamKnowledge | undefined => {
        const answer = Answer.safeParse(jsonOf(body));
        return answer.success
            ? {
                origin: answer.data.origin ?? undefined,
                isCurrent: answer.data.isCurrent,
                histories: answer.data.histories.map(({ service, coveredMs, versions }) => ({
                    service,
                    coveredMs,
                    versions: versions.map(([version, firstMs, lastMs]) => [version ?? undefined, firstMs, lastMs]),
                })),
            }
            : undefined;
    },
};

export { knowledgeJson };
