import type { OrganisationId, Tokens } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { Left, Right } from "purify-ts";

import type { AllowancePort } from "../ports/AllowancePort.js";
import type { DaemonContext } from "../ports/DaemonContext.js";

const MILLIS_PER_SECOND = 1_000;

type Bucket = { readonly tokens: Tokens; readonly at: number; };

/** Spends an equal part of each organisation's rate and burst on this VM. */
export function createAllowancePort(
    ctx: DaemonContext,
): AllowancePort & { readonly stop: () => void; readonly drain: () => Promise<void>; } {
    const buckets = new Map<OrganisationId, Bucket>();

    const bucketOf = (organisation: OrganisationId): Bucket => {
        const spec = ctx.release.current()?.organisations.get(organisation);
        const part = 1 / Math.max(1, ctx.membership.members().length);
        const now = ctx.clock.now();
        const burst = (spec?.burst ?? 0) * part;
        const known = buckets.get(organisation) ?? { tokens: burst, at: now };
        const accrued = (now - known.at) / MILLIS_PER_SECOND * (spec?.rate ?? 0) * part;
        return { tokens: Math.min(burst, known.tokens + accrued), at: now };
    };

    const add = (organisation: OrganisationId, tokens: Tokens): void => {
        const bucket = bucketOf(organisation);
        buckets.set(organisation, { ...bucket, tokens: bucket.tokens + tokens });
    };

    const reserve: AllowancePort["reserve"] = (organisation, tokens) => {
        if (bucketOf(organisation).tokens < tokens) {
            return Promise.resolve(Left(refusalOf("over-rate")));
        }
        add(organisation, -tokens);
        return Promise.resolve(Right({ organisation, tokens }));
    };

    return {
        reserve,
        settle: (reservation, used) => add(reservation.organisation, reservation.tokens - used),
        stop: () => buckets.clear(),
        drain: () => Promise.resolve(),
    };
}
