import type { KeyId } from "@azureshunt/core";

import type { Configuration } from "./Configuration.js";
import { itemId } from "./itemId.js";
import type { ItemSpec } from "./ItemSpec.js";
import type { KeySpec } from "./KeySpec.js";
import type { ReleaseNote } from "./ReleaseNote.js";

/** Maximum number of withdrawn keys remembered; an older one counts as unknown, and so is refused as well. */
const MAX_WITHDRAWN_KEYS = 4_096;

const withEdits = <Id extends string, Spec extends ItemSpec>(
    items: ReadonlyMap<Id, Spec>,
    upserted: readonly Spec[],
    withdrawn: readonly Id[],
): ReadonlyMap<Id, Spec> => {
    if (upserted.length === 0 && withdrawn.length === 0) {
        return items;
    }
    const next = new Map(items);
    upserted.forEach(spec => next.set(itemId(spec) as Id, spec));
    withdrawn.forEach(id => next.delete(id));
    return next;
};

const withdrawnKeyIds = (cfg: Configuration, note: ReleaseNote): readonly KeyId[] => {
    const organisations = new Set(note.withdrawn.organisations);
    if (organisations.size === 0) {
        return note.withdrawn.keys;
    }
    const keys = [...cfg.keys.values(), ...note.added.keys, ...note.changed.keys];
    const ofOrganisations = keys
        .filter(key => key.organisation !== undefined && organisations.has(key.organisation))
        .map(key => key.id);
    return [...new Set([...note.withdrawn.keys, ...ofOrganisations])];
};

const withdrawnKeysAfter = (cfg: Configuration, ids: readonly KeyId[]): ReadonlyMap<KeyId, KeySpec> => {
    const specs = ids.flatMap(id => cfg.keys.get(id) ?? []);
    if (specs.length === 0) {
        return cfg.withdrawnKeys;
    }
    const all = [...cfg.withdrawnKeys.values(), ...specs].slice(-MAX_WITHDRAWN_KEYS);
    return new Map(all.map(spec => [spec.id, spec]));
};

/**
 * Returns the configuration after a note, which must be valid (see `validateNote`). Maps that the note does not change
 * are shared with the previous configuration.
 */
export function applyNote(cfg: Configuration, note: ReleaseNote): Configuration {
    const { added, changed, withdrawn } = note;
    const keyIds = withdrawnKeyIds(cfg, note);
    return {
        revision: cfg.revision + 1,
        organisations: withEdits(
            cfg.organisations,
            [...added.organisations, ...changed.organisations],
            withdrawn.organisations,
        ),
        keys: withEdits(cfg.keys, [...added.keys, ...changed.keys], keyIds),
        models: withEdits(cfg.models, [...added.models, ...changed.models], withdrawn.models),
        services: withEdits(cfg.services, [...added.services, ...changed.services], withdrawn.services),
        endpoints: withEdits(cfg.endpoints, [...added.endpoints, ...changed.endpoints], withdrawn.endpoints),
        withdrawnKeys: withdrawnKeysAfter(cfg, keyIds),
    };
}
