import type { ItemSpec } from "./ItemSpec.js";

/** Returns the id of an item, unique within its kind. */
export function itemId(spec: ItemSpec): string {
    return "id" in spec ? spec.id : spec.name;
}
