import type { Dispatcher } from "undici";

import type { Arrival } from "../workload/Arrival.js";
import { promptOf } from "../workload/promptOf.js";
import type { Workload } from "../workload/Workload.js";
import type { LoadTarget } from "./LoadTarget.js";
import type { Outcome } from "./Outcome.js";
import { readStreamText } from "./readStreamText.js";
import type { StreamReading } from "./StreamReading.js";

const INITIAL_READING: StreamReading = {
    nextPosition: 0,
    inOrder: true,
    done: false,
    errorCode: undefined,
    ran: undefined,
    partialLine: "",
};

type ErrorBody = { readonly error?: { readonly code?: string; readonly ran?: string; }; };

/** An outcome without the times, which the caller of this function adds. */
type Answer = Pick<Outcome, "status" | "errorCode" | "ran" | "complete" | "tokens">;

const readRefusal = async (status: number, body: Dispatcher.ResponseData["body"]): Promise<Answer> => {
    const text = await body.text();
    const error = (JSON.parse(text || "{}") as ErrorBody).error;
    return { status, errorCode: error?.code ?? "unknown", ran: error?.ran, complete: false, tokens: 0 };
};

/**
 * Sends one streamed request and reads its complete answer.
 *
 * @param onFirstToken called when the first token has arrived
 * @throws Error if the connection fails
 */
export async function sendModelRequest(
    dispatcher: Dispatcher,
    target: LoadTarget,
    workload: Workload,
    arrival: Arrival,
    onFirstToken: () => void,
): Promise<Answer> {
    const maxTokens = arrival.kind === "long" ? workload.longAnswerTokens : workload.shortAnswerTokens;
    const answer = await dispatcher.request({
        origin: target.daemons[arrival.daemon] ?? "",
        path: "/v1/completions",
        method: "POST",
        headers: {
            "content-type": "application/json",
            "authorization": `Bearer ${target.keyOf(arrival.organisation)}`,
        },
        body: JSON.stringify({
            model: target.model,
            prompt: promptOf(workload, arrival),
            max_tokens: maxTokens,
            stream: true,
        }),
    });
    if (answer.statusCode !== 200) {
        return readRefusal(answer.statusCode, answer.body);
    }
    let reading = INITIAL_READING;
    for await (const chunk of answer.body) {
        const before = reading.nextPosition;
        reading = readStreamText(reading, (chunk as Buffer).toString("utf8"));
        if (before === 0 && reading.nextPosition > 0) {
            onFirstToken();
        }
    }
    return {
        status: answer.statusCode,
        errorCode: reading.errorCode,
        ran: reading.ran,
        complete: reading.done && reading.inOrder && reading.nextPosition === maxTokens,
        tokens: reading.nextPosition,
    };
}
