import { createHash } from "node:crypto";

import type { Millis, OrganisationId } from "@azureshunt/core";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { DeclaredState } from "../knowledge/DeclaredState.js";

type Organisations = RoutingConfiguration["organisations"];

type SaltInputs = {
    /** Version of the weights that the engine holds. */
    readonly weights: number;
    /** Owner of the request; `undefined` if it needs no key. */
    readonly organisation: OrganisationId | undefined;
    readonly declaredState: Pick<DeclaredState, "configuration" | "confirmedAt">;
    /** Age up to which the configuration counts as the one in force. */
    readonly maxAgeMs: Millis;
};

/** 128 bits: a collision would put parts that must be kept apart under one salt. */
const DIGEST_CHARS = 22;

/** The digest by map, as each request asks for it. */
const digests = new WeakMap<Organisations, string>();
/** Computes a digest of which organisations are isolated; empty if none is. */
const isolationDigestOf = (organisations: Organisations): string => {
    const known = digests.get(organisations);
    if (known !== undefined) {
        return known;
    }
    const isolated = [...organisations.values()].filter(({ isIsolated }) => isIsolated).map(({ id }) => id).toSorted();
    const digest = isolated.length === 0
        ? ""
        : createHash("sha256").update(JSON.stringify(isolated)).digest("base64url").slice(0, DIGEST_CHARS);
    digests.set(organisations, digest);
    return digest;
};

/**
 * Returns the salt of cached parts; parts that were prefilled under another one cannot be found.
 *
 * If the salt that organisations share did not change when one of them becomes isolated, the others would go on using
 * the parts that it has left there. To prevent this, that salt names which organisations are isolated: none of them has
 * ever prefilled a part under it, whatever was declared before. It follows from the configuration alone, so all VMs have
 * the same one, also after they have started again.
 *
 * A VM whose configuration is no longer confirmed may have missed that an organisation is isolated. It shares nothing
 * between organisations.
 */
export function saltOf({ weights, organisation, declaredState, maxAgeMs }: SaltInputs, now: Millis): string {
    const { configuration, confirmedAt } = declaredState;
    const organisations: Organisations = configuration?.organisations ?? new Map();
    const isConfirmed = now - confirmedAt <= maxAgeMs;
    // Looked up again, as the request may have been admitted under an earlier configuration.
    const isShared = isConfirmed && organisations.get(organisation as OrganisationId)?.isIsolated === false;
    if (organisation !== undefined && !isShared) {
        return `w${weights}.${organisation}`;
    }
    if (!isConfirmed && organisations.size > 0) {
        return `w${weights}:unconfirmed`;
    }
    const digest = isolationDigestOf(organisations);
    return digest === "" ? `w${weights}` : `w${weights}/${digest}`;
}
