import { hashText } from "@azureshunt/core";
import type { CallerRequest } from "../ports/CallerRequest.js";
import type { PrefixPart } from "./PrefixPart.js";

/**
 * Computes the keys of a prompt's parts. Equal keys mean equal prefixes under the same salt. A cached part is usable
 * only if all parts before it are cached too.
 */
export function chainOf(salt: string, parts: NonNullable<CallerRequest["prompt"]>["parts"]): readonly PrefixPart[] {
    const prefix = { key: salt };
    return parts.map(part => {
        prefix.key = hashText(`${prefix.key}/${part.id}`);
        return { key: prefix.key, tokens: part.tokens };
    });
}
