import type { IncomingMessage } from "node:http";

import type { EndpointHead } from "./EndpointHead.js";
import type { EndpointRequest } from "./EndpointRequest.js";
import type { EngineReport } from "./EngineReport.js";
import type { WeightsOrder } from "./WeightsOrder.js";

/** One HTTP call, encoded. */
type EncodedCall = {
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
    readonly body: Buffer;
};

/** How requests, orders and reports look on the way between this VM and endpoints. */
export type EndpointWire = {
    readonly encodeHeaders: (request: EndpointRequest) => readonly string[];
    readonly decodeHead: (res: IncomingMessage) => EndpointHead;
    readonly encodeOrder: (order: WeightsOrder) => EncodedCall;
    readonly reportCall: EncodedCall;
    /** Undefined where the body cannot be read. */
    readonly decodeReport: (body: Buffer) => EngineReport | undefined;
};
