import { isDeepStrictEqual } from "node:util";

import type { Configuration } from "./Configuration.js";
import type { ItemChange } from "./ItemChange.js";
import type { ItemKind } from "./ItemKind.js";
import { itemKinds } from "./itemKinds.js";
import { itemsOf } from "./itemsOf.js";
import type { ItemSpec } from "./ItemSpec.js";

const differingFields = (a: ItemSpec, b: ItemSpec): readonly string[] => {
    const [before, after] = [a, b].map(spec => spec as Readonly<Record<string, unknown>>);
    const fields = new Set([...Object.keys(before ?? {}), ...Object.keys(after ?? {})]);
    return [...fields].filter(field => !isDeepStrictEqual(before?.[field], after?.[field]));
};

const diffKind = (a: Configuration, b: Configuration, kind: ItemKind): readonly ItemChange[] => {
    const [before, after] = [itemsOf(a, kind), itemsOf(b, kind)];
    if (before === after) {
        return [];
    }
    const upserted = [...after].flatMap(([id, spec]): readonly ItemChange[] => {
        const former = before.get(id);
        if (former === undefined) {
            return [{ kind, id, change: "added", fields: [] }];
        }
        const fields = differingFields(former, spec);
        return fields.length === 0 ? [] : [{ kind, id, change: "changed", fields }];
    });
    const withdrawn = [...before.keys()]
        .filter(id => !after.has(id))
        .map((id): ItemChange => ({ kind, id, change: "withdrawn", fields: [] }));
    return [...upserted, ...withdrawn];
};

/** Lists the items in which configuration `b` differs from `a`. */
export function diffConfiguration(a: Configuration, b: Configuration): readonly ItemChange[] {
    return itemKinds.flatMap(kind => diffKind(a, b, kind));
}
