import type { ItemKind } from "./ItemKind.js";

/** All kinds of items, in the order in which they are listed. */
const itemKinds: readonly ItemKind[] = ["organisations", "keys", "models", "services", "endpoints"];

export { itemKinds };
