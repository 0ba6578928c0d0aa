import type { Clock } from "../common/Clock.js";
import type { History } from "../common/History.js";
import type { Switches } from "../common/Switches.js";
import type { createCacheState } from "./createCacheState.js";
import type { createEventStream } from "./createEventStream.js";
import type { createScheduler } from "./createScheduler.js";
import type { EngineEntry } from "./EngineEntry.js";
import type { EngineFlags } from "./EngineFlags.js";
import type { EngineSwitches } from "./EngineSwitches.js";
import type { LoadReport } from "./LoadReport.js";
import type { Weights } from "./Weights.js";

/** State and parts of one model engine, used by its routes. */
export type Engine = {
    readonly flags: EngineFlags;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly switches: Switches<EngineSwitches>;
    readonly history: History<EngineEntry>;
    readonly events: ReturnType<typeof createEventStream>;
    readonly cache: ReturnType<typeof createCacheState>;
    readonly scheduler: ReturnType<typeof createScheduler>;
    readonly weights: () => Weights;
    readonly setWeights: (weights: Weights) => void;
    /** False during the cold start, or while the switch `unready` is on. */
    readonly ready: () => boolean;
    /** The load as it was `loadLagMs` ago. */
    readonly reportedLoad: () => LoadReport;
};
