import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";
import type { DispatchParts } from "./DispatchParts.js";
import type { TryEnd } from "./TryEnd.js";

/**
 * Chooses an endpoint for a try of a request whose key is still valid.
 *
 * A key may be withdrawn while its request waits in the queue. Symptom: work done for a withdrawn key. To prevent this,
 * the key is checked before the wait, on every configuration change during it, and right before the request is sent.
 *
 * @returns Left with `stopped` if the request must not be tried, and with `unplaced` if no endpoint was found
 */
export async function placeTry(
    parts: DispatchParts,
    call: Call,
    tried: readonly EndpointName[],
): Promise<Either<TryEnd, Placement>> {
    const check = (): Either<Refusal, Call> => parts.recheck(call).chain(parts.suspects.check);
    const checked = check();
    if (checked.isLeft()) {
        return Left({ kind: "stopped", refusal: checked.extract() as Refusal });
    }
    const waitAborter = new AbortController();
    const unsubscribe = parts.ctx.release.subscribe(() => check().ifLeft(() => waitAborter.abort()));
    const waitingCall = { ...call, signal: AbortSignal.any([call.signal, waitAborter.signal]) };
    const placed = await parts.placement.place(waitingCall, tried);
    unsubscribe();
    return check().caseOf<Either<TryEnd, Placement>>({
        Left: refusal => {
            placed.ifRight(placement => placement.end("cancelled"));
            return Left({ kind: "stopped", refusal });
        },
        Right: () => placed.mapLeft(refusal => ({ kind: "unplaced", refusal })),
    });
}
