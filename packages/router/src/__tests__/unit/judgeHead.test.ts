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
    weights: undefined,
};

// A late answer, or one of somebody on the way, passes for the endpoint's answer to this request.
const cases: readonly (readonly [name: string, head: Partial<EndpointHead>, verdict: ReturnType<typeof judgeHead>])[] =
    [
        ["its own success", {}, "pass"],
        ["its own refusal by rule", { status: 404 }, "pass"],
        ["another request's success", { requestId: "another" }, "garbled"],
        ["another request's refusal", { requestId: "another", status: 503, isNotRun: true }, "garbled"],
        ["no id", { requestId: undefined }, "garbled"],
        ["no seal", { isSealed: false }, "garbled"],
        ["encoded on the way", { isEncoded: true }, "garbled"],
        ["its own failure", { status: 500 }, "failed"],
        ["a failure without a seal", { status: 502, isSealed: false }, "garbled"],
        ["not run, as it says", { status: 503, isSealed: false, requestId: undefined, isNotRun: true }, "refused"],
        ["503 that does not say so", { status: 503 }, "failed"],
        ["another endpoint at the address", { status: 421, isSealed: false, requestId: undefined }, "elsewhere"],
    ];

cases.forEach(([name, head, verdict]) => {
    test(`judgeHead: ${name}`, t => {
        t.is(judgeHead({ ...genuine, ...head }, served), verdict);
    });
});
