import type { Configuration } from "./Configuration.js";
import { ReleaseNote } from "./ReleaseNote.js";

/** Exports a configuration as one note that, applied to an empty configuration, results in the same items. */
export function exportNote(cfg: Configuration): ReleaseNote {
    return ReleaseNote.parse({
        note: `Configuration at revision ${cfg.revision}`,
        added: {
            organisations: [...cfg.organisations.values()],
            keys: [...cfg.keys.values()],
            models: [...cfg.models.values()],
            services: [...cfg.services.values()],
            endpoints: [...cfg.endpoints.values()],
        },
    });
}
