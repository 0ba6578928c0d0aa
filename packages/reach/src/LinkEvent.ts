/** How a connection to the endpoint at an address opened: over an own link, or through a peer before the own link. */
export type LinkEvent = { readonly kind: "opened" | "bypassed"; readonly address: string; };
