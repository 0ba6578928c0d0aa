import type { StreamOrigin } from "../../StreamOrigin.js";
import { runOf } from "./runOf.js";

/** Creates the origin of a stream whose first event came from an endpoint at a time. */
export function originOf(name: string, softwareVersion: string | undefined, eventAt = 0): StreamOrigin {
    const { service, bornAt, ...run } = runOf(name, softwareVersion);
    return { service, softwareVersion, first: { name: run.name, bornAt, eventAt } };
}
