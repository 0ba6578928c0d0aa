import type { IncomingMessage } from "node:http";

import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { CallerRequest } from "./CallerRequest.js";

/** How requests and refusals look on the way between callers and this VM. */
export type CallerWire = {
    /** Left where the request is malformed. */
    readonly decode: (req: IncomingMessage) => Either<Refusal, CallerRequest>;
    readonly encodeRefusal: (refusal: Refusal) => {
        readonly headers: readonly string[];
        readonly body: string;
    };
    /** Headers of an endpoint's answer that go to the caller, names and values by turns. */
    readonly passAnswerHeaders: (rawHeaders: readonly string[]) => readonly string[];
};
