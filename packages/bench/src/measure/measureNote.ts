import { createHash, randomBytes } from "node:crypto";

import type { Topology } from "../topology/Topology.js";
import { allowanceOf } from "../workload/allowanceOf.js";
import type { Workload } from "../workload/Workload.js";
import { measureNames } from "./measureNames.js";

const KEY_BYTES = 32;

/** A release note, with the API key of each organisation by organisation id. */
type MeasureNote = {
    readonly note: object;
    readonly keys: ReadonlyMap<string, string>;
};

/** Creates the release note that declares the organisations of a workload and all endpoints of its installation. */
export function measureNote(workload: Workload, topology: Topology): MeasureNote {
    const keys = new Map(
        workload.organisations.map(({ id }) => [id, `ask_${randomBytes(KEY_BYTES).toString("base64url")}`]),
    );
    const endpoints = topology.endpoints.map(({ name, kind, failureDomain, url }) => ({
        name,
        kind,
        failureDomain,
        url,
        ...kind === "model" ? { models: [measureNames.model], checksFencing: false } : {},
        ...kind === "service" ? { service: measureNames.service } : {},
    }));
    const note = {
        note: `installation of ${workload.name}`,
        added: {
            organisations: workload.organisations.map(({ id, share }) => ({ id, ...allowanceOf(workload, share) })),
            keys: [...keys].map(([organisation, key]) => ({
                id: `key-${organisation}`,
                organisation,
                digest: createHash("sha256").update(key).digest("hex"),
            })),
            models: [{
                name: measureNames.model,
                version: measureNames.version,
                pieceTokens: workload.engine.pieceTokens,
            }],
            services: [{
                name: measureNames.service,
                routes: [
                    { methods: ["POST"], pathPrefix: measureNames.bookingPath, repeatable: false },
                    { methods: ["GET"], pathPrefix: measureNames.lookupPath, repeatable: true },
                ],
            }],
            endpoints,
        },
    };
    return { note, keys };
}
