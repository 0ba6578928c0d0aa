import { validateHeaderName, validateHeaderValue } from "node:http";
import type { IncomingMessage } from "node:http";

import { isFinalStatus } from "@azureshunt/http";

/**
 * Returns whether the head of an endpoint's answer can be sent to a caller. Node's parser takes more than its server sends:
 * any status of three digits, and a space before the colon of a header.
 */
export function isSendableHead(
    { statusCode, rawHeaders }: Pick<IncomingMessage, "statusCode" | "rawHeaders">,
): boolean {
    try {
        rawHeaders.forEach((text, i) =>
            i % 2 === 0 ? validateHeaderName(text) : validateHeaderValue(rawHeaders[i - 1] ?? "", text)
        );
    }
    catch {
        return false;
    }
    return isFinalStatus(statusCode);
}
