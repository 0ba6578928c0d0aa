import type { EndChecks } from "../dispatch/EndChecks.js";
import type { OpenedCall } from "../dispatch/OpenedCall.js";
import { readAnswer } from "../dispatch/readAnswer.js";
import { closingHeaders } from "./closingHeaders.js";
import { forwardStream } from "./forwardStream.js";
import { isRepeatable } from "./isRepeatable.js";
import { isServerError } from "./isServerError.js";
import { isStream } from "./isStream.js";
import type { StreamHooks } from "./StreamHooks.js";
import type { TryParts } from "./TryParts.js";
import type { TryResult } from "./TryResult.js";
import { withoutLength } from "./withoutLength.js";

/**
 * Silence in mid-stream after which another endpoint continues. A sound endpoint may be silent for about a second, and
 * would go on with the stream while the other one repeats its work.
 */
const STREAM_SILENCE_MS = 1_500;
/** An endpoint is given whole milliseconds, so it may stop before this VM's own deadline. */
const TIME_LEFT_UNIT_MS = 1;
const SUCCESS = 200;

const sendHead = ({ parts, served }: TryParts, { res }: Extract<OpenedCall, { readonly kind: "head"; }>): void => {
    if (!served.res.headersSent) {
        const forwarded = parts.callerWire.forwardAnswerHeaders(res.rawHeaders);
        const headers = isRepeatable(served.route.kind) ? withoutLength(forwarded) : forwarded;
        served.res.writeHead(res.statusCode ?? SUCCESS, [...headers, ...closingHeaders(parts)]);
    }
};

/** Forwards a stream's events to the caller as they arrive, and reads any other answer completely. */
export async function forwardAnswer(
    tryParts: TryParts,
    opened: Extract<OpenedCall, { readonly kind: "head"; }>,
    hooks: StreamHooks,
): Promise<Pick<TryResult, "kind" | "answer">> {
    const { served, place, progress, isLastTry, parts } = tryParts;
    const endChecks: EndChecks = {
        confirm: () =>
            parts.confirmEnd({ entry: place.entry, confirmCarrier: opened.confirmCarrier, signal: served.signal }),
        isTimeUp: () => parts.clock.now() >= served.deadline - TIME_LEFT_UNIT_MS,
    };
    if (isStream(served.route.kind) && opened.res.statusCode === SUCCESS) {
        const canResume = isRepeatable(served.route.kind) && !isLastTry;
        const kind = await forwardStream({
            served,
            opened,
            progress,
            clock: parts.clock,
            bounds: parts.flowBounds(),
            silenceMs: canResume ? STREAM_SILENCE_MS : undefined,
            sendHead: () => sendHead(tryParts, opened),
            endChecks,
            ...hooks,
            onMove: canResume ? hooks.onMove : () => () => undefined,
        });
        if (kind === "answered") {
            sendHead(tryParts, opened);
        }
        return { kind, answer: undefined };
    }
    const body = await readAnswer(opened, {
        bounds: parts.flowBounds(),
        clock: parts.clock,
        account: served.account,
        endChecks,
    });
    if (body === undefined) {
        return { kind: served.signal.aborted ? "cancelled" : "broken", answer: undefined };
    }
    const headers = parts.callerWire.forwardAnswerHeaders(opened.res.rawHeaders);
    const status = opened.res.statusCode ?? SUCCESS;
    return { kind: isServerError(status) ? "failed" : "answered", answer: { status, headers, body } };
}
