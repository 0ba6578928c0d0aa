import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { EndpointWire } from "../ports/EndpointWire.js";
import type { EngineReport } from "../ports/EngineReport.js";
import type { EngineCalls } from "./EngineCalls.js";
import { orderTiming } from "./orderTiming.js";

const OK = 200;

/**
 * Requests an engine's report on itself.
 *
 * @param address `host:port`
 * @returns Left with `unreached` if no byte of the request can have arrived, with `lost` if no valid report came back
 */
export async function requestReport(
    calls: EngineCalls,
    wire: EndpointWire,
    address: string,
): Promise<Either<"unreached" | "lost", EngineReport>> {
    const res = await calls.call(address, wire.reportCall, orderTiming.answerMs);
    if (res.kind !== "answer") {
        return Left(res.kind);
    }
    const report = res.status === OK ? wire.decodeReport(res.body) : undefined;
    return report === undefined ? Left("lost") : Right(report);
}
