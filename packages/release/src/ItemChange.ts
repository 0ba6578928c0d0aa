import type { ItemKind } from "./ItemKind.js";

/** Difference of one item between two configurations. */
export type ItemChange = {
    readonly kind: ItemKind;
    readonly id: string;
    readonly change: "added" | "changed" | "withdrawn";
    /** Names of the fields that differ, for a changed item. */
    readonly fields: readonly string[];
};
