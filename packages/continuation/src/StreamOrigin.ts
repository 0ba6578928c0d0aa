import type { ServiceName } from "@azureshunt/core";

import type { EndpointRun } from "./EndpointRun.js";

/** What a stream began with: another endpoint may continue it only if it writes the same way. */
export type StreamOrigin = {
    readonly service: ServiceName;
    /** `undefined` if the endpoint states none; then only the same run of the endpoint can continue the stream. */
    readonly softwareVersion: string | undefined;
    /**
     * The endpoint that sent the first event, and when that event came, in milliseconds since the epoch; `undefined` if
     * only the version is known.
     */
    readonly first: (Omit<EndpointRun, "softwareVersion"> & { readonly eventAt: number; }) | undefined;
};
