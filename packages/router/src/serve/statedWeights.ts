import type { ModelVersion } from "../fleet/ModelVersion.js";
import type { EndpointHead } from "../ports/EndpointHead.js";
import type { ServedRequest } from "./ServedRequest.js";

/**
 * Returns the weights that an engine states in the head of an answer: those of the request's model, whatever the answer.
 * An answer to another request, which may arrive late on the connection, may be of another model.
 */
export function statedWeights(
    { weights, requestId }: Pick<EndpointHead, "weights" | "requestId">,
    { caller }: Pick<ServedRequest, "caller">,
): ModelVersion | undefined {
    const model = caller.prompt?.model;
    const isOfOther = requestId !== undefined && requestId !== caller.id;
    return weights === undefined || model === undefined || isOfOther ? undefined : { model, version: weights };
}
