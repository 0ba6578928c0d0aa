import type { EndpointName, Millis } from "@azureshunt/core";
import type { EndpointEffect, EndpointEvent, EndpointState } from "@azureshunt/endpoint";
import { isEligible, newEndpoint, stepEndpoint } from "@azureshunt/endpoint";
import type { Configuration, EndpointSpec } from "@azureshunt/release";

import type { Call } from "../ports/Call.js";

const byName = (a: EndpointSpec, b: EndpointSpec): number => (a.name < b.name ? -1 : 1);

/** The declared endpoints and the state of each. */
export class EndpointTable {
    #specs: readonly EndpointSpec[] = [];
    readonly #states = new Map<EndpointName, EndpointState>();

    /**
     * Applies the endpoints of a configuration.
     *
     * @returns the endpoints that are no longer declared, or declared with another URL
     */
    configure(cfg: Configuration, now: Millis): readonly EndpointName[] {
        const gone = this.#specs
            .filter(spec => cfg.endpoints.get(spec.name)?.url !== spec.url)
            .map(spec => spec.name);
        gone.forEach(name => this.#states.delete(name));
        this.#specs = [...cfg.endpoints.values()].sort(byName);
        this.#specs.forEach(spec => {
            const { name, url, failureDomain, leaving } = spec;
            const state = this.#states.get(name) ?? newEndpoint(name, failureDomain, url, leaving);
            this.#states.set(name, stepEndpoint(state, { kind: "declared", url, failureDomain, leaving }, now).state);
        });
        return gone;
    }

    /** Applies an event to an endpoint, if it is declared, and returns the effects to perform. */
    apply(name: EndpointName, event: EndpointEvent, now: Millis): readonly EndpointEffect[] {
        const state = this.#states.get(name);
        if (state === undefined) {
            return [];
        }
        const step = stepEndpoint(state, event, now);
        this.#states.set(name, step.state);
        return step.effects;
    }

    /** Returns all declared endpoints, ordered by name. */
    specs(): readonly EndpointSpec[] {
        return this.#specs;
    }

    /** Returns the state of an endpoint; undefined if it is not declared. */
    stateOf(name: EndpointName): EndpointState | undefined {
        return this.#states.get(name);
    }

    /** Returns the endpoints that may run a call, ordered by name. */
    eligibleFor(call: Call): readonly EndpointState[] {
        const { target } = call;
        return target.kind === "service"
            ? this.#eligible(spec => spec.kind === "service" && spec.service === target.service, undefined)
            : this.#eligible(spec => spec.kind === "model", target);
    }

    /** Returns the eligible KV cache stores. */
    stores(): readonly EndpointState[] {
        return this.#eligible(spec => spec.kind === "cache", undefined);
    }

    #eligible(
        isWanted: (spec: EndpointSpec) => boolean,
        wanted: Parameters<typeof isEligible>[1],
    ): readonly EndpointState[] {
        return this.#specs
            .filter(isWanted)
            .flatMap(spec => this.#states.get(spec.name) ?? [])
            .filter(state => isEligible(state, wanted));
    }
}
