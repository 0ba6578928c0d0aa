import type { EndpointName, ModelName } from "@azureshunt/core";
import { jsonOf } from "@azureshunt/http";
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

/** Returns `undefined` if the text is of another version of the router; only the record's holder is known then. */
const statementOf = (json: string): LeaseStatement | undefined => {
    const statement = rows.safeParse(jsonOf(Buffer.from(json)));
    if (!statement.success) {
        return undefined;
    }
    const [orderable, unanswered, targets] = statement.data;
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
};

/** Decodes a record of the order lease. Records of earlier versions hold the holder's name alone. */
export function decodeLeaseRecord(value: Buffer | undefined): LeaseRecord {
    const text = value?.toString("utf8") ?? "";
    const holder = holderOf(text);
    return { holder, stated: statementOf(text.slice(holder.length + 1)) };
}
