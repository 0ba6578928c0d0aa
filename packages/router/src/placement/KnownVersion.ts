import type { Millis, VmId } from "@azureshunt/core";

/** What a VM knows of an engine's weights for one model, beside what the engine's entry states. Updated in place. */
export type KnownVersion = {
    /**
     * Newest version known from answers, reports, orders and peers; 0 until one is known. The registry entry may be
     * outdated.
     */
    version: number;
    /** Who stated that version last. */
    by: "engine" | "entry" | VmId;
    /** When the engine itself or a peer last confirmed that version; `-Infinity` until then. */
    confirmedAt: Millis;
    /** When this VM learned of that version, from the engine or from a peer; `-Infinity` until then. */
    learnedAt: Millis;
    /** Versions up to this one are taken from the engine itself only, as its entry contradicts its peers. */
    distrusted: number;
};
