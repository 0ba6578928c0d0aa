import type { EngineReport } from "../ports/EngineReport.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

/** Start of an endpoint whose registry entry does not state it. */
const UNKNOWN_START = 0;

/**
 * Returns whether a report is of the incarnation that the registry names. If it is of another one, the engine has
 * started again and the registry does not show it yet, or another engine has the address now; its counts and versions
 * say nothing about the engine of the entry.
 */
export function isReportOf(report: EngineReport, entry: EndpointEntry): boolean {
    return report.bornAt === undefined || entry.bornAt === UNKNOWN_START || report.bornAt === entry.bornAt;
}
