import type { ServiceName } from "@azureshunt/core";
import { earnRetry, fullRetryBudget } from "@azureshunt/request";
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
    return { of, set, earn: service => set(service, earnRetry(of(service))) };
}
