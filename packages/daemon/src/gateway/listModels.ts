import type { ServerResponse } from "node:http";

import type { OrganisationId, Refusal, RequestId } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Right } from "purify-ts";

/** Answers `GET /v1/models` with the models and adapters that the organisation may use. */
export function listModels(
    cfg: Configuration,
    organisation: OrganisationId,
    id: RequestId,
    res: ServerResponse,
): Either<Refusal, void> {
    const allowed = cfg.organisations.get(organisation)?.models;
    const names = [...cfg.models.values()]
        .filter(model => allowed?.includes(model.name) ?? true)
        .flatMap(model => [model.name, ...model.adapters.map(adapter => `${model.name}:${adapter}`)]);
    const data = names.map(name => ({ id: name, object: "model", created: 0, owned_by: "azureshunt" }));
    res.writeHead(200, { "content-type": "application/json", "x-request-id": id });
    res.end(JSON.stringify({ object: "list", data }));
    return Right(undefined);
}
