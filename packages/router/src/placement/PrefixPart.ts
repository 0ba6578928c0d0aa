import type { Tokens } from "@azureshunt/core";

/** One part of a prompt. Its key identifies the part together with the salt and all parts before it. */
export type PrefixPart = { readonly key: string; readonly tokens: Tokens; };
