import { applyNote } from "./applyNote.js";
import { checkNote } from "./checkNote.js";
import type { Configuration } from "./Configuration.js";
import { itemId } from "./itemId.js";
import type { ItemKind } from "./ItemKind.js";
import { itemKinds } from "./itemKinds.js";
import { itemsOf } from "./itemsOf.js";
import { itemText } from "./itemText.js";
import type { NoteFault } from "./NoteFault.js";
import { referenceFaults } from "./referenceFaults.js";
import type { ReleaseNote } from "./ReleaseNote.js";

const presenceFaults = (cfg: Configuration, note: ReleaseNote, kind: ItemKind): readonly NoteFault[] => {
    const items = itemsOf(cfg, kind);
    const absent = (section: "changed" | "withdrawn", id: string, index: number): readonly NoteFault[] =>
        items.has(id) ? [] : [{
            path: [section, kind, index],
            found: `${itemText(kind, id)}, which does not exist`,
            allowed: `one of the ${items.size} existing ${kind}`,
        }];
    return [
        ...note.added[kind].flatMap((spec, index): readonly NoteFault[] =>
            items.has(itemId(spec))
                ? [{
                    path: ["added", kind, index],
                    found: `${itemText(kind, itemId(spec))}, which exists already`,
                    allowed: "a new id, or the item under changed",
                }]
                : []
        ),
        ...note.changed[kind].flatMap((spec, index) => absent("changed", itemId(spec), index)),
        ...note.withdrawn[kind].flatMap((id, index) => absent("withdrawn", id, index)),
    ];
};

/**
 * Lists all faults of a note against the configuration that it would change. Applying a note without faults results in
 * a configuration without broken references.
 *
 * @param next the configuration after the note; passed by a caller that has it, as copying large maps twice is costly
 */
export function validateNote(cfg: Configuration, note: ReleaseNote, next = applyNote(cfg, note)): readonly NoteFault[] {
    return [
        ...checkNote(note),
        ...itemKinds.flatMap(kind => presenceFaults(cfg, note, kind)),
        ...referenceFaults(cfg, next, note),
    ];
}
