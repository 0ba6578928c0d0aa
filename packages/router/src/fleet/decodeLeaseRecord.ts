import type { EndpointName, ModelName } from "@azureshunt/core";
import { z } from "zod";

import { holderOf } from "./holderOf.js";
import type { LeaseRecord } from "./LeaseRecord.js";
import type { LeaseStatement } from "./LeaseStatement.js";

const endpoint = z.string().transform(name => name as EndpointName);
const model = z.string().transform(name => name as ModelName);
const rows = z.tuple([
    z.array(z.tuple([endpoint, z.number()]).rest(z.unknown())),
    z.array(z.tuple([endpoint, z.number(), z.number().nullable(), z.number().nonnegative()]).rest(z.unknown())),
    z.array(z.tuple([model, z.number(), z.number().nonnegative()]).rest(z.unknown())),
]).rest(z.unknown());

const statementOf = (json: string): LeaseStatement | undefined => {
    try {
        const [orderable, unanswered, targets] = rows.parse(JSON.parse(json));
        return {
            orderable: orderable.map(([name, bornAt]) => ({ endpoint: name, bornAt })),
            unanswered: unanswered.map(([name, bornAt, ordersTaken, ageMs]) => ({
                endpoint: name,
                bornAt,
                ordersTaken: ordersTaken ?? undefined,
                ageMs,
            })),
            targets: targets.map(([name, version, ageMs]) => [name, version, ageMs]),
        };
    }
    catch {
        // A record of another version: only its holder is known.
        return undefined;
    }
};

/** Decodes a record of the order lease. Records of earlier versions hold the holder's name alone. */
export function decodeLeaseRecord(value: Buffer | undefined): LeaseRecord {
    const text = value?.toString("utf8") ?? "";
    const holder = holderOf(text);
    return { holder, stated: statementOf(text.slice(holder.length + 1)) };
}
