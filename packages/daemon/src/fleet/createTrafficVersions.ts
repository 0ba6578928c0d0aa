import type { EndpointName, Millis, ModelName, WeightsVersion } from "@azureshunt/core";
import type { Weights } from "@azureshunt/fleet";
import { trafficVersion } from "@azureshunt/fleet";
import type { Configuration, ModelSpec } from "@azureshunt/release";

/** Time for which a decision is reused, so that not every request has to scan all endpoints. */
const DECISION_VALID_MS = 100;

/** A decided version, valid for one revision of the configuration. */
type Decision = { readonly version: WeightsVersion; readonly revision: number; readonly decidedAt: Millis; };

/** A live endpoint and the weights that it holds, as this daemon last saw them. */
type LiveEndpoint = { readonly name: EndpointName; readonly holds: readonly Weights[]; };

/** Returns the weights version of a model for new requests. */
type TrafficVersions = (cfg: Configuration, spec: ModelSpec) => WeightsVersion;

const replicasOf = (cfg: Configuration, model: ModelName): ReadonlySet<EndpointName> =>
    new Set(
        [...cfg.endpoints.values()]
            .filter(endpoint => !endpoint.leaving && endpoint.models.includes(model))
            .map(endpoint => endpoint.name),
    );

/**
 * Creates the choice of weights versions. Each daemon decides by its own observations. During a release, two daemons may
 * briefly choose different versions, each of which some engine holds.
 *
 * @param observe returns the live endpoints as seen now
 */
export function createTrafficVersions(observe: () => readonly LiveEndpoint[], now: () => Millis): TrafficVersions {
    const decisions = new Map<ModelName, Decision>();
    return (cfg, spec) => {
        const last = decisions.get(spec.name);
        if (last?.revision === cfg.revision && now() - last.decidedAt < DECISION_VALID_MS) {
            return last.version;
        }
        const replicas = replicasOf(cfg, spec.name);
        const holderCounts = observe()
            .filter(endpoint => replicas.has(endpoint.name))
            .flatMap(endpoint => endpoint.holds)
            .filter(weights => weights.model === spec.name && weights.adapter === undefined)
            .reduce(
                (counts, weights) => counts.set(weights.version, (counts.get(weights.version) ?? 0) + 1),
                new Map<WeightsVersion, number>(),
            );
        const version = trafficVersion(spec, replicas.size, holderCounts, last?.version);
        decisions.set(spec.name, { version, revision: cfg.revision, decidedAt: now() });
        return version;
    };
}
