import type { ItemKind } from "./ItemKind.js";

/** All kinds of items, in the order used for lists. */
const itemKinds: readonly ItemKind[] = ["organisations", "keys", "models", "services", "endpoints"];

export { itemKinds };
