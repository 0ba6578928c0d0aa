import type { CrashHistory } from "./CrashHistory.js";

/** The history before the first death. */
const emptyHistory: CrashHistory = {
    accusations: new Map(),
    begunDeaths: new Map(),
    answers: new Map(),
    quarantined: new Map(),
};

export { emptyHistory };
