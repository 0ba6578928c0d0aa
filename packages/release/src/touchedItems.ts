import { itemId } from "./itemId.js";
import { itemKinds } from "./itemKinds.js";
import { itemText } from "./itemText.js";
import type { ReleaseNote } from "./ReleaseNote.js";

/** Lists the changes of a note, such as `added model llama`. */
export function touchedItems(note: ReleaseNote): readonly string[] {
    return itemKinds.flatMap(kind => [
        ...note.added[kind].map(spec => `added ${itemText(kind, itemId(spec))}`),
        ...note.changed[kind].map(spec => `changed ${itemText(kind, itemId(spec))}`),
        ...note.withdrawn[kind].map(id => `withdrew ${itemText(kind, id)}`),
    ]);
}
