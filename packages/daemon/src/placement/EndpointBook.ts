import type { EndpointName, Millis } from "@azureshunt/core";
import type { EndpointEffect, EndpointEvent, EndpointState } from "@azureshunt/endpoint";
import { isEligible, newEndpoint, stepEndpoint } from "@azureshunt/endpoint";
import type { Configuration, EndpointSpec } from "@azureshunt/release";

import type { Call } from "../ports/Call.js";

const byName = (a: EndpointSpec, b: EndpointSpec): number => (a.name < b.name ? -1 : 1);

/** The declared endpoints and what is known of each. */
export class EndpointBook {
    #specs: readonly EndpointSpec[] = [];
    readonly #states = new Map<EndpointName, EndpointState>();

    /**
     * Takes over the endpoints of a configuration.
     *
     * @returns the endpoints that are declared no more, or at another address
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

    /** Applies an event to an endpoint, if it is declared; gives what the event calls for. */
    apply(name: EndpointName, event: EndpointEvent, now: Millis): readonly EndpointEffect[] {
        const state = this.#states.get(name);
        if (state === undefined) {
            return [];
        }
        const step = stepEndpoint(state, event, now);
        this.#states.set(name, step.state);
        return step.effects;
    }

    /** All declared endpoints by name. */
    specs(): readonly EndpointSpec[] {
        return this.#specs;
    }

    /** What is known of an endpoint. */
    stateOf(name: EndpointName): EndpointState | undefined {
        return this.#states.get(name);
    }

    /** Endpoints that may run a call, by name. */
    eligibleFor(call: Call): readonly EndpointState[] {
        const { target } = call;
        return target.kind === "service"
            ? this.#eligible(spec => spec.kind === "service" && spec.service === target.service, undefined)
            : this.#eligible(spec => spec.kind === "model", target);
    }

    /** KV cache stores that answer. */
    stores(): readonly EndpointState[] {
        return this.#eligible(spec => spec.kind === "cache", undefined);
    }

    #eligible(
        isMeant: (spec: EndpointSpec) => boolean,
        wanted: Parameters<typeof isEligible>[1],
    ): readonly EndpointState[] {
        return this.#specs
            .filter(isMeant)
            .flatMap(spec => this.#states.get(spec.name) ?? [])
            .filter(state => isEligible(state, wanted));
    }
}
