import type { Millis } from "@azureshunt/core";

/** An order for new weights that an engine carries out, or may be carrying out. */
export type EngineOrder = {
    readonly version: number;
    /** When it was given; tells it from other orders to the same engine. */
    readonly givenAt: Millis;
    /** When it was given, or was last seen under way. */
    readonly seenAt: Millis;
    /** Whether this VM gave it. */
    readonly isOwn: boolean;
};
