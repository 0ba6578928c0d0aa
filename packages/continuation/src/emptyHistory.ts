import type { VersionHistory } from "./VersionHistory.js";

/** History of a service before its registry has been read. */
const emptyHistory: VersionHistory = { coveredSince: Infinity, versions: new Map() };

export { emptyHistory };
