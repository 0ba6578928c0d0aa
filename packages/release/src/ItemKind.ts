/** Kinds of items that a release note can add, change or withdraw; also the names of the lists in its sections. */
export type ItemKind = "organisations" | "keys" | "models" | "services" | "endpoints";
