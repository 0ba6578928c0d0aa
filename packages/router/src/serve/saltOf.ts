import type { Organisation } from "../configuration/Organisation.js";

/**
 * Returns the salt of cached parts. Parts that were prefilled under other weights, or by an organisation that does not
 * share its cache, have another salt and cannot be found.
 */
export function saltOf(weights: number, organisation: Organisation | undefined): string {
    return organisation?.isIsolated === true ? `w${weights}.${organisation.id}` : `w${weights}`;
}
