import type { EndpointName } from "@azureshunt/core";

/** One run of an endpoint's process, as its registry entry states it. */
export type EndpointRun = {
    readonly name: EndpointName;
    /** `undefined` if the entry states none. */
    readonly softwareVersion: string | undefined;
    /** Start of the process, in milliseconds since the epoch. */
    readonly bornAt: number;
};
