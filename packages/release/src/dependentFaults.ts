import type { Configuration } from "./Configuration.js";
import type { NoteFault } from "./NoteFault.js";
import type { ReleaseNote } from "./ReleaseNote.js";

const MAX_NAMES_SHOWN = 5;

const listNames = (names: readonly string[]): string => {
    const shown = names.slice(0, MAX_NAMES_SHOWN).join(", ");
    return names.length > MAX_NAMES_SHOWN ? `${shown} and ${names.length - MAX_NAMES_SHOWN} more` : shown;
};

const faultOf = (
    kind: "models" | "services",
    index: number,
    id: string,
    dependents: readonly string[],
): readonly NoteFault[] =>
    dependents.length === 0 ? [] : [{
        path: ["withdrawn", kind, index],
        found: `${id}, which ${listNames(dependents)} still name`,
        allowed: "an item that nothing names any more; change or withdraw those in the same note",
    }];

/** Lists withdrawn models and services to which endpoints or organisations would still refer. */
export function dependentFaults(next: Configuration, note: ReleaseNote): readonly NoteFault[] {
    if (note.withdrawn.models.length === 0 && note.withdrawn.services.length === 0) {
        return [];
    }
    const endpoints = [...next.endpoints.values()];
    const organisations = [...next.organisations.values()];
    const ofModel = (id: string): readonly string[] => [
        ...endpoints.filter(spec => spec.models.some(name => name === id)).map(spec => `endpoint ${spec.name}`),
        ...organisations.filter(spec => spec.models?.some(name => name === id)).map(spec => `organisation ${spec.id}`),
    ];
    const ofService = (id: string): readonly string[] => [
        ...endpoints.filter(spec => spec.service === id).map(spec => `endpoint ${spec.name}`),
        ...organisations
            .filter(spec => spec.services?.some(name => name === id))
            .map(spec => `organisation ${spec.id}`),
    ];
    return [
        ...note.withdrawn.models.flatMap((id, index) => faultOf("models", index, id, ofModel(id))),
        ...note.withdrawn.services.flatMap((id, index) => faultOf("services", index, id, ofService(id))),
    ];
}
