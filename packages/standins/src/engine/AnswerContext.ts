import type { ServerResponse } from "node:http";

import type { AnswerIdentity } from "./AnswerIdentity.js";
import type { StreamFault } from "./StreamFault.js";

/** What an answer writer needs to know of its request. */
export type AnswerContext = {
    readonly res: ServerResponse;
    readonly identity: AnswerIdentity;
    readonly incarnation: string;
    readonly model: string;
    /** Whether the answer has the form of a chat completion; plain completions have other field names. */
    readonly chat: boolean;
    readonly promptTokens: number;
    /** "length" if the caller's token limit ends the answer, "stop" if the engine's own limit does. */
    readonly finishReason: "length" | "stop";
    readonly fault: StreamFault;
};
