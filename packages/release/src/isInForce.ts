import { isDeepStrictEqual } from "node:util";

import type { Configuration } from "./Configuration.js";
import { itemId } from "./itemId.js";
import { itemKinds } from "./itemKinds.js";
import { itemsOf } from "./itemsOf.js";
import type { ReleaseNote } from "./ReleaseNote.js";

/**
 * Returns whether the configuration already contains every change of a note. Applying such a note again then counts as
 * done and not as a fault.
 */
export function isInForce(cfg: Configuration, note: ReleaseNote): boolean {
    return itemKinds.every(kind => {
        const items = itemsOf(cfg, kind);
        const withdrawn: readonly string[] = note.withdrawn[kind];
        return [...note.added[kind], ...note.changed[kind]]
            .every(spec => isDeepStrictEqual(items.get(itemId(spec)), spec))
            && withdrawn.every(id => !items.has(id));
    });
}
