import { hashText } from "@azureshunt/core";
import type { Registry } from "./Registry.js";

/**
 * Computes a digest of the present entries; VMs that have read the same entries get the same digest. Versions of
 * weights are left out, as VMs send each other those as they observe them.
 */
export function digestOfRegistry({ endpoints }: Pick<Registry, "endpoints">): string {
    const rows = [...endpoints.values()]
        .filter(({ missingSince }) => missingSince === undefined)
        .map(({ entry: { name, service, address, isLeaving, bornAt } }) =>
            [name, service, address, isLeaving, bornAt].join("/")
        );
    return hashText(rows.toSorted().join("\n"));
}
