import type { ItemSpec } from "./ItemSpec.js";

/** Gives the id that an item is known by within its kind. */
export function itemId(spec: ItemSpec): string {
    return "id" in spec ? spec.id : spec.name;
}
