import { hashText } from "../placement/hashText.js";
import type { Registry } from "./Registry.js";

/**
 * Names the entries that are there, so that VMs which read the same give the same name. Versions of weights are left out:
 * VMs tell each other those as they see them.
 */
export function digestOfRegistry({ endpoints }: Pick<Registry, "endpoints">): string {
    const rows = [...endpoints.values()]
        .filter(({ missingSince }) => missingSince === undefined)
        .map(({ entry: { name, service, address, isLeaving, bornAt } }) =>
            [name, service, address, isLeaving, bornAt].join("/")
        );
    return hashText(rows.toSorted().join("\n"));
}
