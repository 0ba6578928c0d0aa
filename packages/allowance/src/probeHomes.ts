import type { Millis, Step } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import { askHome } from "./askHome.js";
import { timing } from "./timing.js";

/**
 * Probes homes that failed or declined, with an ask for no tokens. Meanwhile requests are refused at once, so that
 * nothing else would find out that such a home serves again.
 */
export function probeHomes(allowance: Allowance, now: Millis): Step<Allowance, AllowanceEffect> {
    const failed = allowance.held.filter(held =>
        (held.failedAt ?? held.decliningSince) !== undefined && held.askedAt + timing.askLateMs <= now
    );
    return allowance.homes
        .filter(home => failed.some(held => held.home === home.vm))
        .reduce<Step<Allowance, AllowanceEffect>>((sofar, home) => {
            const step = askHome(sofar.state, home, { need: 0, ahead: 0, giveBack: 0 }, now);
            return { state: step.state, effects: [...sofar.effects, ...step.effects] };
        }, { state: allowance, effects: [] });
}
