import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";
import type { DispatchParts } from "./DispatchParts.js";
import type { TryEnd } from "./TryEnd.js";

/**
 * Chooses an endpoint for a try of a request whose key is valid still.
 *
 * Failure: a key is withdrawn while its request waits in the queue. It shows as work done for a withdrawn key. Guard: the
 * key is checked before the wait, at every change of the configuration during it, and right before the request goes out.
 *
 * @returns Left with `stopped` where the request must not be tried, and with `unplaced` where no endpoint was found
 */
export async function placeTry(
    parts: DispatchParts,
    call: Call,
    tried: readonly EndpointName[],
): Promise<Either<TryEnd, Placement>> {
    const check = (): Either<Refusal, Call> => parts.recheck(call).chain(parts.suspects.check);
    const before = check();
    if (before.isLeft()) {
        return Left({ kind: "stopped", refusal: before.extract() as Refusal });
    }
    const stopped = new AbortController();
    const unsubscribe = parts.ctx.release.subscribe(() => check().ifLeft(() => stopped.abort()));
    const waiting = { ...call, signal: AbortSignal.any([call.signal, stopped.signal]) };
    const placed = await parts.placement.place(waiting, tried);
    unsubscribe();
    return check().caseOf<Either<TryEnd, Placement>>({
        Left: refusal => {
            placed.ifRight(placement => placement.end("cancelled"));
            return Left({ kind: "stopped", refusal });
        },
        Right: () => placed.mapLeft(refusal => ({ kind: "unplaced", refusal })),
    });
}
