import type { OpenedCall } from "../dispatch/OpenedCall.js";
import { readAnswer } from "../dispatch/readAnswer.js";
import { closingHeaders } from "./closingHeaders.js";
import { isRepeatable } from "./isRepeatable.js";
import { isServerError } from "./isServerError.js";
import { passStream } from "./passStream.js";
import type { StreamSigns } from "./StreamSigns.js";
import type { TryParts } from "./TryParts.js";
import type { TryResult } from "./TryResult.js";

/** Silence in mid-stream after which another endpoint goes on: twice the longest usual pause between events. */
const STREAM_SILENCE_MS = 1_000;
const SUCCESS = 200;

const sendHead = ({ parts, served }: TryParts, { res }: Extract<OpenedCall, { readonly kind: "head"; }>): void => {
    if (!served.res.headersSent) {
        const headers = parts.callerWire.passAnswerHeaders(res.rawHeaders);
        served.res.writeHead(res.statusCode ?? SUCCESS, [...headers, ...closingHeaders(parts)]);
    }
};

/** Passes a stream's events to the caller as they come, and reads any other answer whole. */
export async function passAnswer(
    tryParts: TryParts,
    opened: Extract<OpenedCall, { readonly kind: "head"; }>,
    seen: StreamSigns,
): Promise<TryResult> {
    const { served, progress, isLastTry, parts } = tryParts;
    const isStream = served.route.kind === "stream" || served.route.kind === "resumable-stream";
    if (isStream && opened.res.statusCode === SUCCESS) {
        const canGoOn = isRepeatable(served.route.kind) && !isLastTry;
        const kind = await passStream({
            served,
            opened,
            progress,
            silenceMs: canGoOn ? STREAM_SILENCE_MS : undefined,
            sendHead: () => sendHead(tryParts, opened),
            ...seen,
            onMove: canGoOn ? seen.onMove : () => () => undefined,
        });
        if (kind === "answered") {
            sendHead(tryParts, opened);
        }
        return { kind, answer: undefined };
    }
    const body = await readAnswer(opened);
    if (body === undefined) {
        return { kind: served.signal.aborted ? "cancelled" : "broken", answer: undefined };
    }
    const headers = parts.callerWire.passAnswerHeaders(opened.res.rawHeaders);
    const status = opened.res.statusCode ?? SUCCESS;
    return { kind: isServerError(status) ? "failed" : "answered", answer: { status, headers, body } };
}
