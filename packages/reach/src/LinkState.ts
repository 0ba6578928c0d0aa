import type { Millis } from "@azureshunt/core";

/** What a VM knows of its own links to endpoints, from how its connections to them opened. */
export type LinkState = {
    /** When a connection last opened over an own link, to any endpoint; `-Infinity` if none has. */
    readonly openedAt: Millis;
    /**
     * By endpoint address, `host:port`: when a connection last opened through a peer while none opened over the own
     * link. An address is removed once one does.
     */
    readonly bypassedAt: ReadonlyMap<string, Millis>;
};
