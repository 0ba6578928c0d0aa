import { createHash, randomBytes } from "node:crypto";

import type { Topology } from "../topology/Topology.js";

const ORGANISATIONS = [
    { id: "brasov-desk", rate: 20_000, burst: 60_000 },
    { id: "hut-partners", rate: 10_000, burst: 30_000 },
    { id: "drivers", rate: 5_000, burst: 20_000 },
];
const MODEL = "chain-advisor";
const SERVICE = "bookings";

/** An organisation of the demonstration with its callers' key. */
type DemoOrganisation = (typeof ORGANISATIONS)[number] & { readonly key: string; };

/** The release note of the demonstration and the keys that it declares. */
type DemoNote = {
    readonly note: object;
    readonly organisations: readonly DemoOrganisation[];
    /** A second key of the last organisation, to be withdrawn. */
    readonly spareKey: { readonly id: string; readonly key: string; };
    readonly model: string;
    readonly service: string;
};

const keyOf = (id: string, organisation: string, key: string) => ({
    id,
    organisation,
    digest: createHash("sha256").update(key).digest("hex"),
});

/** Creates the release note that declares all endpoints of a topology, three organisations and their keys. */
export function demoNote(topology: Pick<Topology, "endpoints">): DemoNote {
    const organisations = ORGANISATIONS.map(organisation => ({
        ...organisation,
        key: `ask_${randomBytes(32).toString("base64url")}`,
    }));
    const spareKey = { id: "key-drivers-spare", key: `ask_${randomBytes(32).toString("base64url")}` };
    const endpoints = topology.endpoints.map(({ name, kind, failureDomain, url }) => ({
        name,
        kind,
        failureDomain,
        url,
        ...kind === "model" ? { models: [MODEL] } : {},
        ...kind === "service" ? { service: SERVICE } : {},
    }));
    const note = {
        note: "first release",
        added: {
            organisations: ORGANISATIONS,
            keys: [
                ...organisations.map(({ id, key }) => keyOf(`key-${id}`, id, key)),
                keyOf(spareKey.id, "drivers", spareKey.key),
            ],
            models: [{ name: MODEL, version: "v1", pieceTokens: 256, defaultMaxTokens: 32 }],
            services: [{
                name: SERVICE,
                routes: [
                    { methods: ["POST"], pathPrefix: "/bookings", repeatable: false },
                    { methods: ["GET"], pathPrefix: "/", repeatable: true },
                    { methods: ["POST"], pathPrefix: "/lookup", repeatable: true },
                ],
            }],
            endpoints,
        },
    };
    return { note, organisations, spareKey, model: MODEL, service: SERVICE };
}
