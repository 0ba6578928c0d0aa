import { type Refusal, refusalOf } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import { type Either, Left, Right } from "purify-ts";

import type { AdminParts } from "./AdminParts.js";

const START_WAIT_MS = 2_000;
const POLL_MS = 20;

/**
 * Gives the configuration that a change is checked against: the empty one before the first release note, once the log
 * has confirmed that there is none.
 *
 * @returns Left with `no-configuration` when neither log nor peers have told one
 */
export async function knownConfiguration({ ctx, release }: AdminParts): Promise<Either<Refusal, Configuration>> {
    const isKnown = (): boolean => release.current() !== undefined || release.reader().confirmedAt !== undefined;
    const giveUpAt = ctx.clock.now() + START_WAIT_MS;
    while (!isKnown() && ctx.clock.now() < giveUpAt) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    return isKnown() ? Right(release.reader().fold.configuration) : Left(refusalOf("no-configuration"));
}
