import { EndpointName, ServiceName } from "@azureshunt/core";
import { z } from "zod";

import type { StatedOrigin } from "./StatedOrigin.js";
import type { StreamId } from "./StreamId.js";

/**
 * A stream's origin on the wire: id, time left, service, software version, name, start and first event of the endpoint.
 * The service is `null` if the origin is ambiguous. Fields that later versions add are ignored.
 */
const OriginRow = z
    .tuple([
        z.string().max(64).transform(id => id as StreamId),
        z.number().nonnegative(),
        ServiceName.nullable(),
        z.string().nullable(),
        EndpointName.nullable(),
        z.number(),
        z.number(),
    ])
    .rest(z.unknown())
    .transform(([id, leftMs, service, version, name, bornAt, eventAt]): StatedOrigin => ({
        id,
        leftMs,
        origin: service === null ? "ambiguous" : {
            service,
            softwareVersion: version ?? undefined,
            first: name === null ? undefined : { name, bornAt, eventAt },
        },
    }));

export { OriginRow };
