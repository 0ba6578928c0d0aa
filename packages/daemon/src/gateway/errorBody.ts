import type { ErrorKind, Ran, Refusal, RequestId } from "@azureshunt/core";
import { answerOf } from "@azureshunt/core";

/** Body of every error that a caller gets. */
type ErrorBody = {
    readonly error: {
        readonly message: string;
        readonly type: string;
        readonly code: ErrorKind;
        /** Whether the request ran at an endpoint. */
        readonly ran: Ran;
        readonly request_id: string;
        readonly param: null;
    };
};

/** Builds the body of an error in the shape that OpenAI clients read. */
export function errorBody(id: RequestId, refused: Refusal): ErrorBody {
    const { type, message } = answerOf(refused.kind);
    const text = refused.detail === undefined ? message : `${message} ${refused.detail}`;
    return { error: { message: text, type, code: refused.kind, ran: refused.ran, request_id: id, param: null } };
}
