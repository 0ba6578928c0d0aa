import { OrganisationId, type Refusal, refusalOf } from "@azureshunt/core";
import { type Either, Left } from "purify-ts";

import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";
import { ok } from "./ok.js";

/** Shows an organisation's declaration, the ids of its keys, and the state of its allowance on this VM. */
export function showOrganisation(parts: AdminParts, call: AdminCall): Promise<Either<Refusal, AdminAnswer>> {
    const { configuration } = parts.release.reader().fold;
    const id = OrganisationId.safeParse(call.params["id"]);
    const spec = id.success ? configuration.organisations.get(id.data) : undefined;
    if (spec === undefined) {
        return Promise.resolve(Left(refusalOf("not-found", "no such organisation")));
    }
    const keys = [...configuration.keys.values()].filter(key => key.organisation === spec.id).map(key => key.id);
    const allowance = parts.allowance.inspect?.(spec.id);
    return Promise.resolve(ok({ ...spec, keys, vm: parts.ctx.settings.vm, allowance }));
}
