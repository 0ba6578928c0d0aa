import type { EngineReport } from "../ports/EngineReport.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

/**
 * Returns whether a report is of a later start than the one that the registry names: the engine has started again and
 * the registry does not show it yet, or another engine has the address now. Its counts and versions say nothing about
 * the engine of the entry.
 */
export function isOfLaterStart(report: EngineReport, entry: EndpointEntry): boolean {
    return report.bornAt !== undefined && report.bornAt > entry.bornAt && entry.bornAt > 0;
}
