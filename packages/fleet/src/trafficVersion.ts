import type { WeightsVersion } from "@azureshunt/core";
import type { ModelSpec } from "@azureshunt/release";

/** Replicas of a model that hold each version. */
type ReplicasByVersion = ReadonlyMap<WeightsVersion, number>;

const HALF = 0.5;

/**
 * Decides which version of a model new requests get. The declared version takes the traffic once enough replicas hold
 * it; until then the version goes on that most replicas hold. Once taken, it stays while any replica holds it, so that
 * a crash of replicas does not send traffic back to old weights.
 *
 * @param spec the model as declared
 * @param replicas endpoints that are declared for the model
 * @param holders live replicas by the version that they hold
 * @param current the version that new requests got until now; undefined at first
 */
export function trafficVersion(
    spec: ModelSpec,
    replicas: number,
    holders: ReplicasByVersion,
    current: WeightsVersion | undefined,
): WeightsVersion {
    const holding = holders.get(spec.version) ?? 0;
    const needed = Math.min(spec.minReplicas ?? Math.ceil(replicas * HALF), Math.max(1, replicas));
    if (holding >= needed || (current === spec.version && holding > 0)) {
        return spec.version;
    }
    if (current !== undefined && current !== spec.version && (holders.get(current) ?? 0) > 0) {
        return current;
    }
    const [most] = [...holders].filter(([, count]) => count > 0).sort(([, a], [, b]) => b - a);
    return most?.[0] ?? spec.version;
}
