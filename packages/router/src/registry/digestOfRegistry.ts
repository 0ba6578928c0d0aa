import { hashText } from "@azureshunt/core";

import type { EndpointEntry } from "./EndpointEntry.js";
import type { Registry } from "./Registry.js";

/** Models of an engine that serves several; those of others go unnamed, so that earlier versions get the same digest. */
const modelsOf = ({ versions }: EndpointEntry): readonly string[] =>
    versions.size > 1 ? [...versions.keys()].toSorted() : [];

/**
 * Computes a digest of the present entries; VMs that have read the same entries get the same digest. Versions of
 * weights are left out, as VMs send each other those as they observe them.
 *
 * An engine that begins to serve a further model does not start again for it. Without the names of its models, a VM that
 * does not read the registry for the others would know of none that serves the model, and refuse its requests.
 */
export function digestOfRegistry({ endpoints }: Pick<Registry, "endpoints">): string {
    const rows = [...endpoints.values()]
        .filter(({ missingSince }) => missingSince === undefined)
        .map(({ entry }) => {
            const { name, service, address, isLeaving, bornAt } = entry;
            return [name, service, address, isLeaving, bornAt, ...modelsOf(entry)].join("/");
        });
    return hashText(rows.toSorted().join("\n"));
}
