import type { Organisation } from "../configuration/Organisation.js";

/**
 * Gives the salt of cached parts. Parts that were read under other weights, or by an organisation that shares with
 * nobody, lie under another salt and cannot be found.
 */
export function saltOf(weights: number, organisation: Organisation | undefined): string {
    return organisation?.isIsolated === true ? `w${weights}.${organisation.id}` : `w${weights}`;
}
