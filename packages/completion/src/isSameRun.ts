import type { Millis } from "@azureshunt/core";

import type { EndpointStatement } from "./EndpointStatement.js";

/** Least time in which a process ends and another one answers at its address. */
const RESTART_MS: Millis = 100;

/**
 * Returns whether the process that sent an answer still ran after the answer's end.
 *
 * The start that it states decides if its registry entry states one, too. Otherwise it is the same process if it answers
 * on a connection that was open before, as the connections of a process that ends are closed together, or before
 * another process can have started. Neither shows it if the end waited to be read, so they count only without a start.
 *
 * @param bornAt start of the process, as its registry entry said when the request was sent; 0 if it said nothing
 */
export function isSameRun(statement: EndpointStatement, bornAt: number): boolean {
    if (statement.kind !== "answer") {
        return false;
    }
    return statement.bornAt === undefined || bornAt === 0
        ? statement.isOnKeptConnection || statement.tookMs < RESTART_MS
        : statement.bornAt === bornAt;
}
