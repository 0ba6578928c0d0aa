import type { Configuration } from "./Configuration.js";
import { dependentFaults } from "./dependentFaults.js";
import type { EndpointSpec } from "./EndpointSpec.js";
import type { FieldPath } from "./FieldPath.js";
import type { KeySpec } from "./KeySpec.js";
import type { NoteFault } from "./NoteFault.js";
import type { NoteItems } from "./NoteItems.js";
import type { OrganisationSpec } from "./OrganisationSpec.js";
import type { ReleaseNote } from "./ReleaseNote.js";

type Section = "added" | "changed";

const unknown = (path: FieldPath, what: string, id: string): NoteFault => ({
    path,
    found: `${what} ${id}, which does not exist`,
    allowed: `a ${what} of the configuration or of this note`,
});

const missing = (
    path: FieldPath,
    what: string,
    ids: readonly string[],
    known: { readonly has: (id: never) => boolean; },
): readonly NoteFault[] =>
    ids.flatMap((id, index) => known.has(id as never) ? [] : [unknown([...path, index], what, id)]);

const organisationFaults = (
    next: Configuration,
    domains: ReadonlySet<string>,
    path: FieldPath,
    spec: OrganisationSpec,
): readonly NoteFault[] => [
    ...missing([...path, "models"], "model", spec.models ?? [], next.models),
    ...missing([...path, "services"], "service", spec.services ?? [], next.services),
    ...Object.keys(spec.shares ?? {})
        .filter(domain => !domains.has(domain))
        .map(domain => unknown([...path, "shares", domain], "failure domain", domain)),
];

const keyFaults = (
    cfg: Configuration,
    next: Configuration,
    owners: ReadonlyMap<string, string>,
    path: FieldPath,
    spec: KeySpec,
): readonly NoteFault[] => {
    const owner = owners.get(spec.digest);
    const { organisation } = spec;
    const isOrphan = organisation !== undefined && !next.organisations.has(organisation);
    return [
        ...(isOrphan ? [unknown([...path, "organisation"], "organisation", organisation)] : []),
        ...(cfg.withdrawnKeys.has(spec.id)
            ? [{ path: [...path, "id"], found: `key ${spec.id}, which was withdrawn`, allowed: "a new id" }]
            : []),
        ...(owner !== undefined && owner !== spec.id
            ? [{ path: [...path, "digest"], found: `the digest of key ${owner}`, allowed: "a digest of its own" }]
            : []),
    ];
};

const endpointFaults = (
    next: Configuration,
    urls: ReadonlyMap<string, string>,
    path: FieldPath,
    spec: EndpointSpec,
): readonly NoteFault[] => {
    const owner = urls.get(spec.url);
    const { service } = spec;
    const isAstray = service !== undefined && !next.services.has(service);
    return [
        ...missing([...path, "models"], "model", spec.models, next.models),
        ...(isAstray ? [unknown([...path, "service"], "service", service)] : []),
        ...(owner !== undefined && owner !== spec.name
            ? [{ path: [...path, "url"], found: `the url of endpoint ${owner}`, allowed: "a url of its own" }]
            : []),
    ];
};

/** Finds the first item that has each of the wanted values. */
const ownersOf = <Spec>(
    wanted: readonly string[],
    specs: readonly Iterable<Spec>[],
    field: (spec: Spec) => string,
    owner: (spec: Spec) => string,
): ReadonlyMap<string, string> => {
    const owners = new Map<string, string>();
    const values = new Set(wanted);
    if (values.size === 0) {
        return owners;
    }
    // A loop without copies: this runs over all keys of the fleet while requests wait.
    specs.forEach(each => {
        for (const spec of each) {
            const value = field(spec);
            if (values.has(value) && !owners.has(value)) {
                owners.set(value, owner(spec));
            }
        }
    });
    return owners;
};

/**
 * Lists references of a note's items that lead nowhere, digests and urls that belong to another item, and items left
 * behind whose references the note would break.
 *
 * @param cfg the configuration before the note
 * @param next the configuration after it
 */
export function referenceFaults(cfg: Configuration, next: Configuration, note: ReleaseNote): readonly NoteFault[] {
    const put = [note.added, note.changed];
    const hasShares = put.some(items => items.organisations.some(spec => spec.shares !== undefined));
    const domains = new Set<string>(
        hasShares ? [...next.endpoints.values()].map(spec => spec.failureDomain) : [],
    );
    const digests = ownersOf(
        put.flatMap(items => items.keys.map(spec => spec.digest)),
        [cfg.withdrawnKeys.values(), next.keys.values()],
        spec => spec.digest,
        spec => spec.id,
    );
    const urls = ownersOf(
        put.flatMap(items => items.endpoints.map(spec => spec.url)),
        [next.endpoints.values()],
        spec => spec.url,
        spec => spec.name,
    );
    const faultsOf = (section: Section, items: NoteItems): readonly NoteFault[] => [
        ...items.organisations.flatMap((spec, index) =>
            organisationFaults(next, domains, [section, "organisations", index], spec)
        ),
        ...items.keys.flatMap((spec, index) => keyFaults(cfg, next, digests, [section, "keys", index], spec)),
        ...items.endpoints.flatMap((spec, index) => endpointFaults(next, urls, [section, "endpoints", index], spec)),
    ];
    return [
        ...faultsOf("added", note.added),
        ...faultsOf("changed", note.changed),
        ...dependentFaults(next, note),
    ];
}
