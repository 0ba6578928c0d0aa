import type { SuspectKey } from "./SuspectKey.js";
import type { SuspectStage } from "./SuspectStage.js";

/** What may have been the cause of an endpoint's death. */
export type Suspect = { readonly key: SuspectKey; readonly stage: SuspectStage; };
