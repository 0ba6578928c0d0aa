import type { Millis, ServiceName } from "@azureshunt/core";

import type { EndpointGroup } from "./EndpointGroup.js";
import type { LinkTarget } from "./LinkTarget.js";

/** An own link that did not open a connection when it was last tried. */
type UnopenedLink = {
    readonly target: LinkTarget;
    /** When a connection last opened through a peer and none over the own link; `-Infinity` if none did. */
    readonly bypassedAt: Millis;
    /** When no connection opened, be it for the link or for the endpoint; `-Infinity` if one always did. */
    readonly failedAt: Millis;
};

/** What a VM knows of its own links to endpoints. */
export type LinkState = {
    /** By group: when a connection to any of its endpoints last opened over an own link. */
    readonly openedAt: ReadonlyMap<EndpointGroup, Millis>;
    /**
     * By service: when any of its endpoints last opened a connection or answered over an own link.
     */
    readonly reachedAt: ReadonlyMap<ServiceName, Millis>;
    /** By endpoint address; a link is removed once it opens a connection. */
    readonly unopened: ReadonlyMap<string, UnopenedLink>;
};
