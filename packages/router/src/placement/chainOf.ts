import type { CallerRequest } from "../ports/CallerRequest.js";
import type { ChainPart } from "./ChainPart.js";
import { hashText } from "./hashText.js";

/**
 * Names the parts of a prompt so that equal names mean equal beginnings under the same salt. A part is of use only where
 * all before it are held too.
 */
export function chainOf(salt: string, parts: NonNullable<CallerRequest["prompt"]>["parts"]): readonly ChainPart[] {
    const prefix = { key: salt };
    return parts.map(part => {
        prefix.key = hashText(`${prefix.key}/${part.id}`);
        return { key: prefix.key, tokens: part.tokens };
    });
}
