import type { ItemKind } from "./ItemKind.js";

const SINGULAR: Readonly<Record<ItemKind, string>> = {
    organisations: "organisation",
    keys: "key",
    models: "model",
    services: "service",
    endpoints: "endpoint",
};

/** Formats an item for display, such as `model llama`. */
export function itemText(kind: ItemKind, id: string): string {
    return `${SINGULAR[kind]} ${id}`;
}
