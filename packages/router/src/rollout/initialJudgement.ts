import type { VersionJudgement } from "./VersionJudgement.js";

/** The judgement before any answer. */
const initialJudgement: VersionJudgement = { counts: new Map(), scores: new Map(), badRoute: undefined };

export { initialJudgement };
