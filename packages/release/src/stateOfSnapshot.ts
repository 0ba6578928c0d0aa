import type { ConfigurationState } from "./ConfigurationState.js";
import { SnapshotData } from "./SnapshotData.js";

/**
 * Parses the state from the data of a snapshot record or from a peer's answer.
 *
 * @param data not validated
 * @returns `undefined` if it is not a complete snapshot
 */
export function stateOfSnapshot(data: unknown): ConfigurationState | undefined {
    const parsed = SnapshotData.safeParse(data);
    if (!parsed.success) {
        return undefined;
    }
    const { offset, revision, digest, items, withdrawnKeys, recent, releases } = parsed.data;
    return {
        configuration: {
            revision,
            organisations: new Map(items.organisations.map(spec => [spec.id, spec])),
            keys: new Map(items.keys.map(spec => [spec.id, spec])),
            models: new Map(items.models.map(spec => [spec.name, spec])),
            services: new Map(items.services.map(spec => [spec.name, spec])),
            endpoints: new Map(items.endpoints.map(spec => [spec.name, spec])),
            withdrawnKeys: new Map(withdrawnKeys.map(spec => [spec.id, spec])),
        },
        offset,
        digest,
        recent: new Map(recent.map(entry => [entry.id, entry.verdict])),
        releases,
    };
}
