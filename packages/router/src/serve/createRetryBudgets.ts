import type { ServiceName } from "@azureshunt/core";
import { earnRetry, fullRetryBudget, spendRetry } from "@azureshunt/request";
import type { RetryBudget } from "@azureshunt/request";

/** Bounds on what all VMs together may send beyond the first try of each request. */
type RetryLimits = {
    /** Retries per request. */
    readonly ratio: number;
    /** Retries in addition, per window. */
    readonly slack: number;
};

/** One retry budget per service. */
type RetryBudgets = {
    readonly of: (service: ServiceName) => RetryBudget;
    /** Takes a retry from the budget ahead of the plan that uses it; `false` if there is none left. */
    readonly reserve: (service: ServiceName) => boolean;
    /** Returns a reserved retry to the budget. */
    readonly release: (service: ServiceName) => void;
    readonly set: (service: ServiceName, budget: RetryBudget) => void;
    /** Credits the budget for a request that has arrived. */
    readonly earn: (service: ServiceName) => void;
};

/** Fraction of the limits that is used, as the requests of one window are not spread evenly over the VMs. */
const USED_FRACTION = 0.7;

/**
 * Keeps this VM's share of the retries.
 *
 * @param vms number of VMs that share the limits
 */
export function createRetryBudgets(limits: () => RetryLimits, vms: () => number): RetryBudgets {
    const budgets = new Map<ServiceName, RetryBudget>();
    const capacity = (): number => Math.max(1, limits().slack * USED_FRACTION / vms());
    const of: RetryBudgets["of"] = service => {
        const budget = budgets.get(service) ?? fullRetryBudget(capacity(), limits().ratio * USED_FRACTION);
        return { ...budget, capacity: capacity(), balance: Math.min(capacity(), budget.balance) };
    };
    const set: RetryBudgets["set"] = (service, budget) => {
        budgets.set(service, budget);
    };
    const reserve: RetryBudgets["reserve"] = service => {
        const left = spendRetry(of(service));
        set(service, left ?? of(service));
        return left !== undefined;
    };
    const release: RetryBudgets["release"] = service => {
        const budget = of(service);
        set(service, { ...budget, balance: budget.balance + 1 });
    };
    return { of, reserve, release, set, earn: service => set(service, earnRetry(of(service))) };
}
