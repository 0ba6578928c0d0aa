import type { Tokens } from "@azureshunt/core";

/** One part of a prompt, named together with its salt and all parts before it. */
export type ChainPart = { readonly key: string; readonly tokens: Tokens; };
