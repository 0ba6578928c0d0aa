import { EitherAsync, Right } from "purify-ts";

import { callAdmin } from "./callAdmin.js";
import type { CliContext } from "./CliContext.js";
import type { CliFailure } from "./CliFailure.js";
import { listRows } from "./listRows.js";

const POLL_MS = 200;

/** Where a revision is not in force yet; both lists are empty once it is in force on all VMs. */
type Missing = { readonly vms: readonly string[]; readonly failureDomains: readonly string[]; };

const missingIn = (body: Readonly<Record<string, unknown>>, revision: number): Missing => {
    const outdated = listRows(body, "vms").filter(vm =>
        typeof vm["revision"] !== "number" || vm["revision"] < revision
    );
    return {
        vms: outdated.map(vm => String(vm["vm"])),
        failureDomains: [...new Set(outdated.map(vm => String(vm["failureDomain"])))],
    };
};

/** Polls until a revision is in force on all VMs or `waitMs` have elapsed; returns where it is still missing. */
export function waitUntilInForce(ctx: CliContext, revision: number, waitMs: number): EitherAsync<CliFailure, Missing> {
    const giveUpAt = ctx.now() + waitMs;
    const poll = (): EitherAsync<CliFailure, Missing> =>
        callAdmin(ctx, "GET", "/admin/v1/status?fleet=1").chain(({ body }) => {
            const missing = missingIn(body, revision);
            const isOver = missing.vms.length === 0 || ctx.now() >= giveUpAt;
            return isOver
                ? EitherAsync.liftEither(Right(missing))
                : EitherAsync<CliFailure, void>(() => ctx.sleep(POLL_MS)).chain(poll);
        });
    return poll();
}
