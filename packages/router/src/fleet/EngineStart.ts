import type { EndpointName } from "@azureshunt/core";

/** One lifetime of an engine, which may start again under its name. */
export type EngineStart = {
    readonly endpoint: EndpointName;
    /** Unix time in milliseconds, by the engine's own clock. */
    readonly bornAt: number;
};
