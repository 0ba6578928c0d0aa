import { type Refusal, refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import { type Either, Left, Right } from "purify-ts";

import type { AdminParts } from "./AdminParts.js";

const START_WAIT_MS = 2_000;
const POLL_MS = 20;

/**
 * Waits until the configuration that a change is validated against is known, for at most `START_WAIT_MS`.
 *
 * @returns the configuration, which is empty if the log has confirmed that there is no release note yet; Left with
 *     `no-configuration` if neither the log nor a peer has provided one
 */
export async function waitForConfiguration({ ctx, release }: AdminParts): Promise<Either<Refusal, Configuration>> {
    const isKnown = (): boolean => release.current() !== undefined || release.reader().confirmedAt !== undefined;
    const giveUpAt = ctx.clock.now() + START_WAIT_MS;
    while (!isKnown() && ctx.clock.now() < giveUpAt) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    return isKnown() ? Right(release.reader().fold.configuration) : Left(refusalOf("no-configuration"));
}
