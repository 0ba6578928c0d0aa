import type { LinkTarget } from "./LinkTarget.js";

/**
 * What happened to a connection to an endpoint: `opened` over an own link, `bypassed` by a peer that opened one first,
 * `failed` to open over an own link, or `answered` over an own link that may have been open for long.
 */
export type LinkEvent = {
    readonly kind: "opened" | "bypassed" | "failed" | "answered";
    readonly target: LinkTarget;
};
