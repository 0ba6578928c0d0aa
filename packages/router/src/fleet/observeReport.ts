import type { EndpointName } from "@azureshunt/core";

import type { EndpointTable } from "../placement/EndpointTable.js";
import type { EngineReport } from "../ports/EngineReport.js";

/** Records the versions of all models that an engine's report states, whichever it was requested for. */
export function observeReport(
    endpointTable: Pick<EndpointTable, "observeWeights">,
    endpoint: EndpointName,
    { versions }: Pick<EngineReport, "versions">,
): void {
    versions.forEach((version, model) => endpointTable.observeWeights(endpoint, { model, version }));
}
