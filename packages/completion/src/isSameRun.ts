import type { Millis } from "@azureshunt/core";

import type { EndpointStatement } from "./EndpointStatement.js";

/** Least time in which a process ends and another one answers at its address. */
const RESTART_MS: Millis = 100;

/**
 * Returns whether the process that sent an answer still ran after the answer's end.
 *
 * The connections of a process that ends are closed together, so an answer on one that was open before comes from the
 * same process, and so does one that comes before another process can have started. The start that a registry entry
 * states is compared last, as the entry may be older than the process.
 *
 * @param bornAt start of the process, as its registry entry said when the request was sent; 0 if it said nothing
 */
export function isSameRun(statement: EndpointStatement, bornAt: number): boolean {
    return statement.kind === "answer"
        && (statement.isOnKeptConnection || statement.tookMs < RESTART_MS
            || (bornAt !== 0 && statement.bornAt === bornAt));
}
