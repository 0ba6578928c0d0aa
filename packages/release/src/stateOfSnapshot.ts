import type { ConfigurationState } from "./ConfigurationState.js";
import { SnapshotData } from "./SnapshotData.js";

/**
 * Reads the state out of a snapshot record or a peer's answer.
 *
 * @param data what the record holds; may be anything
 * @returns undefined when it is not a whole snapshot
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
