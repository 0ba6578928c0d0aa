import { type Refusal, refusalOf, RequestId } from "@azureshunt/core";
import { type Either, Left } from "purify-ts";

import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";
import { ok } from "./ok.js";

/** Shows the events and placement choices of a request, if this daemon still has them in memory. */
export function showRequest(parts: AdminParts, call: AdminCall): Promise<Either<Refusal, AdminAnswer>> {
    const id = RequestId.safeParse(call.params["id"]);
    const events = id.success ? parts.trace.get(id.data) : undefined;
    const choices = id.success ? parts.placement.explain(id.data) : undefined;
    const answer = events === undefined && choices === undefined
        ? Left(refusalOf("not-found", "this VM does not remember such a request; ask the VM that answered it"))
        : ok({ id: id.data, vm: parts.ctx.settings.vm, events: events ?? [], choices: choices ?? [] });
    return Promise.resolve(answer);
}
