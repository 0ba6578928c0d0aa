import type { EndpointName, Millis, ModelName, WeightsVersion } from "@azureshunt/core";
import type { Weights } from "@azureshunt/fleet";
import { trafficVersion } from "@azureshunt/fleet";
import type { Configuration, ModelSpec } from "@azureshunt/release";

/** How long a decision stands, so that a request does not look at every endpoint. */
const STANDS_MS = 100;

/** A version as it was decided, for one configuration. */
type Decision = { readonly version: WeightsVersion; readonly revision: number; readonly at: Millis; };

/** What a live endpoint holds, as this daemon last saw it. */
type Holding = { readonly name: EndpointName; readonly holds: readonly Weights[]; };

/** Gives the version that a new request for a model gets. */
type TrafficVersions = (cfg: Configuration, spec: ModelSpec) => WeightsVersion;

const replicasOf = (cfg: Configuration, model: ModelName): ReadonlySet<EndpointName> =>
    new Set(
        [...cfg.endpoints.values()]
            .filter(endpoint => !endpoint.leaving && endpoint.models.includes(model))
            .map(endpoint => endpoint.name),
    );

/**
 * Makes the choice of versions. Each daemon decides from what it sees; during a release two daemons may for a moment
 * give different versions, each of which is held.
 *
 * @param observe live endpoints as seen now
 */
export function createTrafficVersions(observe: () => readonly Holding[], now: () => Millis): TrafficVersions {
    const decisions = new Map<ModelName, Decision>();
    return (cfg, spec) => {
        const last = decisions.get(spec.name);
        if (last?.revision === cfg.revision && now() - last.at < STANDS_MS) {
            return last.version;
        }
        const replicas = replicasOf(cfg, spec.name);
        const holders = observe()
            .filter(endpoint => replicas.has(endpoint.name))
            .flatMap(endpoint => endpoint.holds)
            .filter(held => held.model === spec.name && held.adapter === undefined)
            .reduce(
                (counts, held) => counts.set(held.version, (counts.get(held.version) ?? 0) + 1),
                new Map<WeightsVersion, number>(),
            );
        const version = trafficVersion(spec, replicas.size, holders, last?.version);
        decisions.set(spec.name, { version, revision: cfg.revision, at: now() });
        return version;
    };
}
