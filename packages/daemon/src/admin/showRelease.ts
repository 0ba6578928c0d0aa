import { type Refusal, refusalOf } from "@azureshunt/core";
import { timeoutSignal } from "@azureshunt/lifecycle";
import { type Either, Left } from "purify-ts";

import { configurationStream } from "../configuration/configurationStream.js";
import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";
import { ok } from "./ok.js";

const READ_MS = 2_000;

/** Shows an accepted release, including its note while the log still has the record. */
export async function showRelease(parts: AdminParts, call: AdminCall): Promise<Either<Refusal, AdminAnswer>> {
    const { release, ctx } = parts;
    const summary = release.reader().fold.releases.find(each => String(each.revision) === call.params["revision"]);
    if (summary === undefined) {
        return Left(refusalOf("not-found", "no such revision, or one too long ago"));
    }
    const page = await ctx.log.read(configurationStream, summary.offset, 1, 0, timeoutSignal(READ_MS));
    const data = page.map(({ records }) => records.find(record => record.id === summary.id)?.data).toMaybe().extract();
    const note = typeof data === "object" && data !== null && "note" in data ? data.note : undefined;
    return ok({ ...summary, release: note });
}
