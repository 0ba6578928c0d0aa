/** What a release note can add, change and withdraw; also the names of its sections. */
export type ItemKind = "organisations" | "keys" | "models" | "services" | "endpoints";
