import type { ErrorKind, Ran, Refusal, RequestId } from "@azureshunt/core";
import { answerOf } from "@azureshunt/core";

/** Body of all error answers to callers. */
type ErrorBody = {
    readonly error: {
        readonly message: string;
        readonly type: string;
        readonly code: ErrorKind;
        /** Whether the request ran at an endpoint, as far as is known. */
        readonly ran: Ran;
        readonly request_id: string;
        readonly param: null;
    };
};

/** Returns the body of an error in the shape that OpenAI clients read. */
export function errorBody(id: RequestId, refusal: Refusal): ErrorBody {
    const { type, message } = answerOf(refusal.kind);
    const text = refusal.detail === undefined ? message : `${message} ${refusal.detail}`;
    return { error: { message: text, type, code: refusal.kind, ran: refusal.ran, request_id: id, param: null } };
}
