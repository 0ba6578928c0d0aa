import type { StartContext } from "@azureshunt/lifecycle";

import type { OpenConnection } from "./dispatch/OpenConnection.js";
import type { CallerWire } from "./ports/CallerWire.js";
import type { DirectoryWire } from "./ports/DirectoryWire.js";
import type { EndpointWire } from "./ports/EndpointWire.js";
import type { StorePort } from "./ports/StorePort.js";
import type { RouterSettings } from "./RouterSettings.js";

/** Settings and adapters that a router is built from. */
export type RouterParts = {
    readonly settings: RouterSettings;
    readonly store: StorePort;
    readonly directory: DirectoryWire;
    readonly callerWire: CallerWire;
    readonly endpointWire: EndpointWire;
    /** Opens connections to endpoints and peers; `connect` of `node:net` if omitted. */
    readonly open?: OpenConnection;
    /** Life cycle of the process; none if omitted. */
    readonly lifecycle?: StartContext;
};
