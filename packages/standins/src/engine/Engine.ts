import type { Clock } from "../common/Clock.js";
import type { History } from "../common/History.js";
import type { Switches } from "../common/Switches.js";
import type { createCacheHolder } from "./createCacheHolder.js";
import type { createEventStream } from "./createEventStream.js";
import type { createScheduler } from "./createScheduler.js";
import type { EngineEntry } from "./EngineEntry.js";
import type { EngineFlags } from "./EngineFlags.js";
import type { EngineSwitches } from "./EngineSwitches.js";
import type { LoadReport } from "./LoadReport.js";
import type { Weights } from "./Weights.js";

/** One model engine and its parts, as its routes see it. */
export type Engine = {
    readonly flags: EngineFlags;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly switches: Switches<EngineSwitches>;
    readonly history: History<EngineEntry>;
    readonly events: ReturnType<typeof createEventStream>;
    readonly cache: ReturnType<typeof createCacheHolder>;
    readonly scheduler: ReturnType<typeof createScheduler>;
    readonly weights: () => Weights;
    readonly setWeights: (weights: Weights) => void;
    /** False while it starts, or while a switch says so. */
    readonly ready: () => boolean;
    /** The load as it was `loadLagMs` ago. */
    readonly reportedLoad: () => LoadReport;
};
