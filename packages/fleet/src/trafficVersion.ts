import type { WeightsVersion } from "@azureshunt/core";
import type { ModelSpec } from "@azureshunt/release";

/** Number of replicas of a model that hold each version. */
type ReplicasByVersion = ReadonlyMap<WeightsVersion, number>;

const DEFAULT_MIN_FRACTION = 0.5;

/**
 * Chooses the version of a model that new requests get. The declared version gets the traffic once enough replicas hold
 * it. Until then, the current version stays while any replica holds it; otherwise the version that most replicas hold
 * is used, or the declared one if none is held. Once chosen, the declared version stays while any replica holds it, so
 * that a crash of replicas does not send traffic back to old weights.
 *
 * @param spec the model as declared
 * @param replicas number of endpoints declared for the model
 * @param holders number of live replicas by the version that they hold
 * @param current version that new requests got until now; undefined if there is none yet
 */
export function trafficVersion(
    spec: ModelSpec,
    replicas: number,
    holders: ReplicasByVersion,
    current: WeightsVersion | undefined,
): WeightsVersion {
    const holding = holders.get(spec.version) ?? 0;
    const needed = Math.min(spec.minReplicas ?? Math.ceil(replicas * DEFAULT_MIN_FRACTION), Math.max(1, replicas));
    if (holding >= needed || (current === spec.version && holding > 0)) {
        return spec.version;
    }
    if (current !== undefined && current !== spec.version && (holders.get(current) ?? 0) > 0) {
        return current;
    }
    const [mostHeld] = [...holders].filter(([, count]) => count > 0).sort(([, a], [, b]) => b - a);
    return mostHeld?.[0] ?? spec.version;
}
