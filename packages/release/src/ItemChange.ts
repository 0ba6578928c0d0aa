import type { ItemKind } from "./ItemKind.js";

/** One item in which two configurations differ. */
export type ItemChange = {
    readonly kind: ItemKind;
    readonly id: string;
    readonly change: "added" | "changed" | "withdrawn";
    /** Fields of a changed item that differ. */
    readonly fields: readonly string[];
};
