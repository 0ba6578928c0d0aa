import { setTimeout as sleep } from "node:timers/promises";

import type { EndpointName } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";
import type { DispatchParts } from "./DispatchParts.js";
import { placeTry } from "./placeTry.js";
import type { TryEnd } from "./TryEnd.js";

const RECHECK_MS = 50;

/** Chooses an endpoint for a try. A request suspected of crashing endpoints waits until it may run at the endpoint. */
export async function placeAdmitted(
    parts: DispatchParts,
    call: Call,
    tried: readonly EndpointName[],
): Promise<Either<TryEnd, Placement>> {
    const placed = await placeTry(parts, call, tried);
    if (placed.isLeft()) {
        return placed;
    }
    const placement = placed.unsafeCoerce();
    const admission = await parts.suspects.admit(call, placement);
    if (admission === "admitted") {
        return placed;
    }
    placement.end("cancelled");
    if (parts.ctx.clock.now() >= call.deadline) {
        return Left({ kind: "unplaced", refusal: refusalOf("deadline-exceeded") });
    }
    await sleep(RECHECK_MS);
    return placeAdmitted(parts, call, admission === "endpoint-busy" ? [...tried, placement.endpoint] : tried);
}
