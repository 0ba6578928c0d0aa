import type { RequestId } from "@azureshunt/core";
import test from "ava";

import type { EndpointHead } from "../../ports/EndpointHead.js";
import { judgeHead } from "../../serve/judgeHead.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";

const served = { caller: { id: "mine" as RequestId } } as ServedRequest;
const genuine: EndpointHead = {
    status: 200,
    requestId: "mine",
    isSealed: true,
    isNotRun: false,
    isEncoded: false,
    maxRefusals: undefined,
    limit: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
    ignoredHeaders: [],
    weights: undefined,
};

// Guards against taking a late answer, or one of an intermediary, for the endpoint's answer to this request.
const cases: readonly (readonly [name: string, head: Partial<EndpointHead>, verdict: ReturnType<typeof judgeHead>])[] =
    [
        ["the endpoint's success is forwarded", {}, "forward"],
        ["the endpoint's 404 is forwarded", { status: 404 }, "forward"],
        ["a success of another request is garbled", { requestId: "another" }, "garbled"],
        ["a refusal of another request is garbled", { requestId: "another", status: 503, isNotRun: true }, "garbled"],
        ["an answer without an id is garbled", { requestId: undefined }, "garbled"],
        ["a success without a seal is garbled", { isSealed: false }, "garbled"],
        ["an answer encoded by an intermediary is garbled", { isEncoded: true }, "garbled"],
        ["the endpoint's own error is a failure", { status: 500 }, "failed"],
        ["an error without a seal is garbled", { status: 502, isSealed: false }, "garbled"],
        ["an answer that guarantees that the request has not run is a refusal", {
            status: 503,
            isSealed: false,
            requestId: undefined,
            isNotRun: true,
        }, "refused"],
        ["a 503 without that guarantee is a failure", { status: 503 }, "failed"],
        [
            "a 421 means another endpoint at the address",
            { status: 421, isSealed: false, requestId: undefined },
            "elsewhere",
        ],
    ];

cases.forEach(([name, head, verdict]) => {
    test(`judgeHead: ${name}`, t => {
        t.is(judgeHead({ ...genuine, ...head }, served), verdict);
    });
});
