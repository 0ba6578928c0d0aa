import type { ServiceName } from "@azureshunt/core";
import { earnRetry, fullRetryBudget, spendRetry } from "@azureshunt/request";
import type { RetryBudget } from "@azureshunt/request";

/** What all VMs together may send beyond the first try of each request. */
type RetryLimits = {
    /** Further tries for each request. */
    readonly ratio: number;
    /** Further tries besides, in one window. */
    readonly slack: number;
};

/** One budget for each service. */
type RetryBudgets = {
    readonly of: (service: ServiceName) => RetryBudget;
    /** Takes a further try ahead of the plan that uses it; false where there is none. */
    readonly reserve: (service: ServiceName) => boolean;
    /** Gives a try back that was taken ahead. */
    readonly release: (service: ServiceName) => void;
    readonly set: (service: ServiceName, budget: RetryBudget) => void;
    /** A request for the service has arrived. */
    readonly earn: (service: ServiceName) => void;
};

/** Part of the limits that is used: requests of one window are not spread evenly over the VMs. */
const USED_PART = 0.7;

/**
 * Keeps this VM's share of the further tries.
 *
 * @param vms how many VMs share the limits
 */
export function createRetryBudgets(limits: () => RetryLimits, vms: () => number): RetryBudgets {
    const budgets = new Map<ServiceName, RetryBudget>();
    const capacity = (): number => Math.max(1, limits().slack * USED_PART / vms());
    const of: RetryBudgets["of"] = service => {
        const budget = budgets.get(service) ?? fullRetryBudget(capacity(), limits().ratio * USED_PART);
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
