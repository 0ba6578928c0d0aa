import type { IncomingMessage } from "node:http";

import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { CallerRequest } from "./CallerRequest.js";

/** Codec for requests, refusals and answer headers between callers and this VM. */
export type CallerWire = {
    /** @returns Left with the refusal if the request is malformed */
    readonly decode: (req: IncomingMessage) => Either<Refusal, CallerRequest>;
    readonly encodeRefusal: (refusal: Refusal) => {
        readonly headers: readonly string[];
        readonly body: string;
    };
    /** Selects the headers of an endpoint's answer that go to the caller. Names and values alternate. */
    readonly forwardAnswerHeaders: (rawHeaders: readonly string[]) => readonly string[];
};
