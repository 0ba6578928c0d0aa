import { jsonOf } from "@azureshunt/http";

import { encodeOrigin } from "./encodeOrigin.js";
import { OriginRow } from "./OriginRow.js";
import type { StatedOrigin } from "./StatedOrigin.js";

/** First field of a datagram; VMs that do not know it ignore the datagram. */
const KIND = "stream-origins";
/** Rows that fit into a datagram which all usual links carry without fragmentation. */
const ROWS = 8;

/** Codec of the datagrams in which VMs tell each other where streams began. */
const originsDatagram = {
    encode: (origins: readonly StatedOrigin[]): readonly Buffer[] =>
        Array.from(
            { length: Math.ceil(origins.length / ROWS) },
            (_, i) => Buffer.from(JSON.stringify([KIND, ...origins.slice(i * ROWS, (i + 1) * ROWS).map(encodeOrigin)])),
        ),
    /** @returns undefined if it is another kind of datagram; rows that cannot be read are left out */
    decode: (datagram: Buffer): readonly StatedOrigin[] | undefined => {
        const isKind = datagram.subarray(0, KIND.length + 2).toString("latin1") === `["${KIND}`;
        const fields = isKind ? jsonOf(datagram) : undefined;
        return Array.isArray(fields)
            ? fields.slice(1).flatMap(row => {
                const origin = OriginRow.safeParse(row);
                return origin.success ? [origin.data] : [];
            })
            : undefined;
    },
};

export { originsDatagram };
