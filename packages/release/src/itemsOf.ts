import type { Configuration } from "./Configuration.js";
import type { ItemKind } from "./ItemKind.js";
import type { ItemSpec } from "./ItemSpec.js";

/** Returns a configuration's items of one kind by id. */
export function itemsOf(cfg: Configuration, kind: ItemKind): ReadonlyMap<string, ItemSpec> {
    return cfg[kind];
}
