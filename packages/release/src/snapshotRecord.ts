import type { ConfigurationState } from "./ConfigurationState.js";
import type { SnapshotData } from "./SnapshotData.js";

/** Returns a state as the data of a snapshot record, the inverse of `stateOfSnapshot`. */
export function snapshotRecord(state: ConfigurationState): SnapshotData {
    const { configuration: cfg, offset, digest } = state;
    return {
        kind: "snapshot",
        offset,
        revision: cfg.revision,
        digest,
        items: {
            organisations: [...cfg.organisations.values()],
            keys: [...cfg.keys.values()],
            models: [...cfg.models.values()],
            services: [...cfg.services.values()],
            endpoints: [...cfg.endpoints.values()],
        },
        withdrawnKeys: [...cfg.withdrawnKeys.values()],
        recent: [...state.recent].map(([id, verdict]) => ({ id, verdict })),
        releases: [...state.releases],
    };
}
