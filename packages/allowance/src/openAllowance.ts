import type { FailureDomain, Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { Home } from "./Home.js";
import type { Limits } from "./Limits.js";

/** Initial state of an allowance. */
type Start = {
    readonly vm: VmId;
    readonly run: Incarnation;
    readonly domain: FailureDomain;
    readonly limits: Limits;
    readonly homes: readonly Home[];
    readonly servesFrom: Millis | undefined;
    readonly now: Millis;
};

/** Creates an organisation's allowance on this VM, without any tokens. */
export function openAllowance({ now, ...start }: Start): Allowance {
    const isHome = start.homes.some(home => home.vm === start.vm);
    return {
        ...start,
        barredSince: isHome && start.servesFrom === undefined ? now : undefined,
        bucket: undefined,
        held: [],
        waiters: [],
        debt: 0,
        inFlight: 0,
        demand: 0,
        spentAt: -Infinity,
        lastRefusedAt: undefined,
    };
}
