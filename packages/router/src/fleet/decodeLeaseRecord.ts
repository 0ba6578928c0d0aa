import type { EndpointName, ModelName } from "@azureshunt/core";
import { z } from "zod";

import { holderOf } from "./holderOf.js";
import type { LeaseOrders } from "./LeaseOrders.js";
import type { LeaseRecord } from "./LeaseRecord.js";

const endpoint = z.string().transform(name => name as EndpointName);
const model = z.string().transform(name => name as ModelName);
const rows = z.tuple([
    z.array(z.tuple([endpoint, z.number()]).rest(z.unknown())),
    z.array(z.tuple([endpoint, z.number(), z.number().nullable(), z.number().nonnegative()]).rest(z.unknown())),
    z.array(z.tuple([model, z.number(), z.number().nonnegative()]).rest(z.unknown())),
]).rest(z.unknown());

const ordersOf = (json: string): LeaseOrders | undefined => {
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
        // A record of another version: its holder counts, its orders are unknown.
        return undefined;
    }
};

/** Decodes a record of the order lease. Records of earlier versions hold the holder's name alone. */
export function decodeLeaseRecord(value: Buffer | undefined): LeaseRecord {
    const text = value?.toString("utf8") ?? "";
    const holder = holderOf(text);
    return { holder, orders: ordersOf(text.slice(holder.length + 1)) };
}
