import { hashText } from "@azureshunt/core";
import type { CallerRequest } from "../ports/CallerRequest.js";
import type { PrefixPart } from "./PrefixPart.js";

/**
 * Computes the keys of a prompt's parts. Equal keys mean equal prefixes for the same model, under the same salt. A cached
 * part is usable only if all parts before it are cached too. Engines keep the parts of their models apart by themselves,
 * so the salt names no model.
 */
export function chainOf(
    salt: string,
    { model, parts }: Pick<NonNullable<CallerRequest["prompt"]>, "model" | "parts">,
): readonly PrefixPart[] {
    const prefix = { key: `${model} ${salt}` };
    return parts.map(part => {
        prefix.key = hashText(`${prefix.key}/${part.id}`);
        return { key: prefix.key, tokens: part.tokens };
    });
}
