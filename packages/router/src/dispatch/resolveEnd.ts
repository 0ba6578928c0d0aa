import { judgeEnd } from "@azureshunt/completion";

import type { EndChecks } from "./EndChecks.js";
import type { OpenedCall } from "./OpenedCall.js";

/**
 * Tells whether an answer that has just ended is whole: at once, unless that has to be confirmed. Must be called in the
 * handler of its `end` event.
 */
export function resolveEnd(
    { res, framing, connectionEnd, isRequestSent }: Extract<OpenedCall, { readonly kind: "head"; }>,
    { confirm, isTimeUp }: EndChecks,
    onResolved: (isWhole: boolean) => void,
): void {
    const verdict = judgeEnd({
        framing,
        isParsed: res.complete,
        connectionEnd: connectionEnd(),
        isRequestSent: isRequestSent(),
        isTimeUp: isTimeUp(),
    });
    if (verdict === "unconfirmed") {
        void confirm().catch(() => false).then(onResolved);
        return;
    }
    onResolved(verdict === "whole");
}
