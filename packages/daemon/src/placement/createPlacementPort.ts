import { randomUUID } from "node:crypto";

import type { DispatchId, EndpointName } from "@azureshunt/core";
import { refusalOf, rendezvousOrder } from "@azureshunt/core";
import type { EndpointSpec } from "@azureshunt/release";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { PlacementPort } from "../ports/PlacementPort.js";

const DEFAULT_ESTIMATE_MS = 500;

const serves = (spec: EndpointSpec, target: Call["target"]): boolean =>
    target.kind === "model"
        ? spec.kind === "model" && spec.models.includes(target.model)
        : spec.kind === "service" && spec.service === target.service;

const placementKey = ({ target, id }: Call): string => target.kind === "model" ? target.pieces[0] ?? id : id;

/** Chooses endpoints by rendezvous of the prompt's first piece. */
export function createPlacementPort(ctx: DaemonContext): PlacementPort & { readonly stop: () => void; } {
    const place: PlacementPort["place"] = (call, tried) => {
        const specs = [...ctx.release.current()?.endpoints.values() ?? []]
            .filter(spec => !spec.leaving && serves(spec, call.target));
        const names: readonly EndpointName[] = specs.map(spec => spec.name);
        const order = rendezvousOrder(placementKey(call), names);
        const chosen = order.find(name => !tried.includes(name)) ?? order[0];
        const spec = specs.find(candidate => candidate.name === chosen);
        if (spec === undefined) {
            return Promise.resolve(Left(refusalOf("no-endpoint")));
        }
        return Promise.resolve(Right({
            dispatchId: randomUUID() as string as DispatchId,
            endpoint: spec.name,
            url: spec.url,
            incarnation: undefined,
            estimate: DEFAULT_ESTIMATE_MS,
            started: () => undefined,
            end: () => undefined,
        }));
    };
    return { place, stop: () => undefined };
}
