import { hashText } from "@azureshunt/core";

import type { PromptOf } from "./PromptOf.js";
import type { SuspectKey } from "./SuspectKey.js";

/** Returns the keys of a prompt's parts that other requests can share: each but the last, wherever it stands. */
export function partKeysOf({ service, model, parts }: PromptOf): readonly SuspectKey[] {
    return [...new Set(parts.slice(0, -1).map(({ id }) => hashText(`${service}/${model}/${id}`) as SuspectKey))];
}
