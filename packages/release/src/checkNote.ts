import type { EndpointSpec } from "./EndpointSpec.js";
import { itemId } from "./itemId.js";
import type { ItemKind } from "./ItemKind.js";
import { itemKinds } from "./itemKinds.js";
import { itemText } from "./itemText.js";
import type { KeySpec } from "./KeySpec.js";
import type { NoteFault } from "./NoteFault.js";
import type { OrganisationSpec } from "./OrganisationSpec.js";
import type { ReleaseNote } from "./ReleaseNote.js";

const SHARE_TOLERANCE = 1e-6;

type Section = "added" | "changed" | "withdrawn";
type Mention = { readonly section: Section; readonly kind: ItemKind; readonly index: number; readonly id: string; };

const mentionsOf = (note: ReleaseNote, kind: ItemKind): readonly Mention[] => [
    ...note.added[kind].map((spec, index): Mention => ({ section: "added", kind, index, id: itemId(spec) })),
    ...note.changed[kind].map((spec, index): Mention => ({ section: "changed", kind, index, id: itemId(spec) })),
    ...note.withdrawn[kind].map((id, index): Mention => ({ section: "withdrawn", kind, index, id })),
];

const duplicateFaults = (mentions: readonly Mention[]): readonly NoteFault[] => {
    const first = new Map<string, Mention>();
    return mentions.flatMap(mention => {
        const former = first.get(mention.id);
        if (former === undefined) {
            first.set(mention.id, mention);
            return [];
        }
        return [{
            path: [mention.section, mention.kind, mention.index],
            found: `${itemText(mention.kind, mention.id)} again, after ${former.section}`,
            allowed: "each item once in a note",
        }];
    });
};

const shareFaults = (section: Section, spec: OrganisationSpec, index: number): readonly NoteFault[] => {
    if (spec.shares === undefined) {
        return [];
    }
    const sum = Object.values(spec.shares).reduce<number>((total, share) => total + (share ?? 0), 0);
    return Math.abs(sum - 1) <= SHARE_TOLERANCE ? [] : [{
        path: [section, "organisations", index, "shares"],
        found: `shares that sum to ${Number(sum.toFixed(6))}`,
        allowed: "shares that sum to 1",
    }];
};

const keyFaults = (section: Section, spec: KeySpec, index: number): readonly NoteFault[] => {
    const path = [section, "keys", index, "organisation"];
    if (spec.kind === "caller" && spec.organisation === undefined) {
        return [{ path, found: "nothing", allowed: "the organisation of a caller's key" }];
    }
    return spec.kind === "admin" && spec.organisation !== undefined
        ? [{ path, found: JSON.stringify(spec.organisation), allowed: "nothing, as the key is an admin key" }]
        : [];
};

const endpointFaults = (section: Section, spec: EndpointSpec, index: number): readonly NoteFault[] => {
    const faultAt = (field: string, found: string, allowed: string): NoteFault => ({
        path: [section, "endpoints", index, field],
        found,
        allowed,
    });
    const needsModels = spec.kind === "model" && spec.models.length === 0;
    const needsService = spec.kind === "service" && spec.service === undefined;
    const excessModels = spec.kind !== "model" && spec.models.length > 0;
    const excessService = spec.kind !== "service" && spec.service !== undefined;
    return [
        ...(needsModels ? [faultAt("models", "no model", "at least one model for kind model")] : []),
        ...(needsService ? [faultAt("service", "nothing", "the service of an endpoint of kind service")] : []),
        ...(excessModels ? [faultAt("models", spec.models.join(", "), `no models for kind ${spec.kind}`)] : []),
        ...(excessService ? [faultAt("service", `"${spec.service}"`, `no service for kind ${spec.kind}`)] : []),
    ];
};

const itemFaults = (section: "added" | "changed", note: ReleaseNote): readonly NoteFault[] => [
    ...note[section].organisations.flatMap((spec, index) => shareFaults(section, spec, index)),
    ...note[section].keys.flatMap((spec, index) => keyFaults(section, spec, index)),
    ...note[section].endpoints.flatMap((spec, index) => endpointFaults(section, spec, index)),
];

const emptyNoteFaults = (note: ReleaseNote): readonly NoteFault[] =>
    itemKinds.some(kind => mentionsOf(note, kind).length > 0)
        ? []
        : [{ path: [], found: "a note that changes nothing", allowed: "something added, changed or withdrawn" }];

/** Lists the faults of a note that can be found without the configuration. */
export function checkNote(note: ReleaseNote): readonly NoteFault[] {
    return [
        ...emptyNoteFaults(note),
        ...itemKinds.flatMap(kind => duplicateFaults(mentionsOf(note, kind))),
        ...itemFaults("added", note),
        ...itemFaults("changed", note),
    ];
}
