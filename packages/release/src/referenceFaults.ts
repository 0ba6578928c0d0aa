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

const unknownFault = (path: FieldPath, what: string, id: string): NoteFault => ({
    path,
    found: `${what} ${id}, which does not exist`,
    allowed: `a ${what} of the configuration or of this note`,
});

const unknownIdFaults = (
    path: FieldPath,
    what: string,
    ids: readonly string[],
    known: { readonly has: (id: never) => boolean; },
): readonly NoteFault[] =>
    ids.flatMap((id, index) => known.has(id as never) ? [] : [unknownFault([...path, index], what, id)]);

const organisationFaults = (
    next: Configuration,
    domains: ReadonlySet<string>,
    path: FieldPath,
    spec: OrganisationSpec,
): readonly NoteFault[] => [
    ...unknownIdFaults([...path, "models"], "model", spec.models ?? [], next.models),
    ...unknownIdFaults([...path, "services"], "service", spec.services ?? [], next.services),
    ...Object.keys(spec.shares ?? {})
        .filter(domain => !domains.has(domain))
        .map(domain => unknownFault([...path, "shares", domain], "failure domain", domain)),
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
    const hasUnknownOrganisation = organisation !== undefined && !next.organisations.has(organisation);
    return [
        ...(hasUnknownOrganisation ? [unknownFault([...path, "organisation"], "organisation", organisation)] : []),
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
    const hasUnknownService = service !== undefined && !next.services.has(service);
    return [
        ...unknownIdFaults([...path, "models"], "model", spec.models, next.models),
        ...(hasUnknownService ? [unknownFault([...path, "service"], "service", service)] : []),
        ...(owner !== undefined && owner !== spec.name
            ? [{ path: [...path, "url"], found: `the url of endpoint ${owner}`, allowed: "a url of its own" }]
            : []),
    ];
};

/** Returns, for each wanted value, the id of the first item that has it. */
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
    // A loop that copies nothing, because it visits all keys of all organisations while requests wait.
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
 * Lists references of a note's items to unknown items, digests and URLs that belong to another item, and withdrawn
 * items to which others still refer.
 *
 * @param cfg the configuration before the note
 * @param next the configuration after the note
 */
export function referenceFaults(cfg: Configuration, next: Configuration, note: ReleaseNote): readonly NoteFault[] {
    const upserted = [note.added, note.changed];
    const hasShares = upserted.some(items => items.organisations.some(spec => spec.shares !== undefined));
    const domains = new Set<string>(
        hasShares ? [...next.endpoints.values()].map(spec => spec.failureDomain) : [],
    );
    const digests = ownersOf(
        upserted.flatMap(items => items.keys.map(spec => spec.digest)),
        [cfg.withdrawnKeys.values(), next.keys.values()],
        spec => spec.digest,
        spec => spec.id,
    );
    const urls = ownersOf(
        upserted.flatMap(items => items.endpoints.map(spec => spec.url)),
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
