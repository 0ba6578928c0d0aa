import type { IncomingMessage } from "node:http";

import type { EndpointName } from "@azureshunt/core";

import type { EncodedCall } from "./EncodedCall.js";
import type { EndpointHead } from "./EndpointHead.js";
import type { EndpointRequest } from "./EndpointRequest.js";
import type { EngineReport } from "./EngineReport.js";
import type { HoldId } from "./HoldId.js";
import type { HoldRequest } from "./HoldRequest.js";
import type { WeightsOrder } from "./WeightsOrder.js";

/** Codec for requests, orders and reports between this VM and endpoints. */
export type EndpointWire = {
    readonly encodeHeaders: (request: EndpointRequest) => readonly string[];
    readonly decodeHead: (res: IncomingMessage) => EndpointHead;
    readonly encodeOrder: (order: WeightsOrder) => EncodedCall;
    readonly encodeHold: (request: HoldRequest) => EncodedCall;
    /** @returns undefined if the body names no place */
    readonly decodeHold: (body: Buffer) => HoldId | undefined;
    readonly encodeHoldRelease: (endpoint: EndpointName, hold: HoldId) => EncodedCall;
    readonly reportCall: EncodedCall;
    /** Encodes a request for a report that any other endpoint at its address rejects as misdirected. */
    readonly encodeRunCheck: (endpoint: EndpointName) => EncodedCall;
    /** @returns undefined if the body is not a valid report */
    readonly decodeReport: (body: Buffer) => EngineReport | undefined;
};
