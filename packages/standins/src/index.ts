/** Small stand-ins for the platform, model engines, the KV cache store, plain services and a network link. */
export type { EngineEntry } from "./engine/EngineEntry.js";
export type { ServiceRun } from "./service/ServiceRun.js";
