import type { Tokens } from "@azureshunt/core";

/**
 * Returns the tokens that a counter adds to its last value; below 0 if tokens were refunded.
 *
 * If one VM restarts among others that have served for long, it would take all that they ever spent as spent now, and
 * refuse organisations within their rate for up to five seconds. To prevent this, only what follows the first update
 * counts for a process that is older than this allowance; what that process spent before its first update is not
 * counted, as it is that process's own share of the rate.
 *
 * @param before the last value; `undefined` if this is the first update
 * @param isNew whether this is the first update of a process that started after this allowance was opened
 */
export function addedSpending(before: Tokens | undefined, spent: Tokens, isNew: boolean): Tokens {
    return spent - (isNew ? 0 : before ?? spent);
}
