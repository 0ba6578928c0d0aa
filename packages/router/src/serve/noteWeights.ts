import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

/** Engines that a line names, as a refusal is often one of many. */
const MAX_NAMED = 4;

/** Notes by what this VM judges the weights of a request's engines, as no endpoint can take the request now. */
export function noteWeights(
    { endpointTable, declaredState }: Pick<ServeParts, "endpointTable" | "declaredState">,
    { service, caller, notes }: Pick<ServedRequest, "service" | "caller" | "notes">,
): void {
    const model = caller.prompt?.model;
    if (model === undefined) {
        return;
    }
    const engines = endpointTable.servingEntries(service).filter(({ versions }) => versions.has(model));
    notes.add("No endpoint can take it now.", {
        model,
        target: declaredState().weights.get(model)?.[0]?.version,
        engineCount: engines.length,
        engines: engines.slice(0, MAX_NAMED).map(entry => endpointTable.weightsBasis(entry, model)),
    });
}
