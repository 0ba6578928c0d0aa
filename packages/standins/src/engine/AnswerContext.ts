import type { ServerResponse } from "node:http";

import type { AnswerIdentity } from "./AnswerIdentity.js";
import type { StreamFault } from "./StreamFault.js";

/** What writing an answer needs to know. */
export type AnswerContext = {
    readonly res: ServerResponse;
    readonly identity: AnswerIdentity;
    readonly incarnation: string;
    readonly model: string;
    /** Chats and plain completions name their parts differently. */
    readonly chat: boolean;
    readonly promptTokens: number;
    /** "length" when the caller's bound ended the answer, "stop" when the engine's own did. */
    readonly finishReason: "length" | "stop";
    readonly fault: StreamFault;
};
