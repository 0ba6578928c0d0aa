import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";
import { ok } from "./ok.js";
import { vmStatuses } from "./vmStatuses.js";

/** Shows the revision in force on this VM and, with `fleet=1`, which VMs and failure domains have it in force. */
export async function showStatus(parts: AdminParts, call: AdminCall): Promise<Either<Refusal, AdminAnswer>> {
    const { ctx, release } = parts;
    const { vm, failureDomain } = ctx.settings;
    const revision = release.current()?.revision ?? 0;
    const staleness = release.staleness();
    const own = {
        vm,
        failureDomain,
        revision,
        digest: release.reader().fold.digest,
        confirmedMsAgo: Number.isFinite(staleness) ? Math.ceil(staleness) : undefined,
        draining: parts.isDraining(),
    };
    if (call.query.get("fleet") !== "1") {
        return ok(own);
    }
    const vms = (await vmStatuses(parts)).map(each => ({ ...each, inForce: (each.revision ?? -1) >= revision }));
    const failureDomains = [...new Set(vms.map(each => each.failureDomain))].sort().map(name => {
        const inDomain = vms.filter(each => each.failureDomain === name);
        const confirmed = inDomain.filter(each => each.inForce).length;
        return { failureDomain: name, vms: inDomain.length, confirmed, inForce: confirmed === inDomain.length };
    });
    return ok({ ...own, inForce: vms.every(each => each.inForce), vms, failureDomains });
}
