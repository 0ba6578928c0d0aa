import { type Refusal, refusalOf } from "@azureshunt/core";
import { ReleaseNote } from "@azureshunt/release";
import { type Either, Left } from "purify-ts";

import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";
import { ok } from "./ok.js";
import { verdictAnswer } from "./verdictAnswer.js";
import { waitForConfiguration } from "./waitForConfiguration.js";

/** Withdraws a key. Succeeds if the key has already been withdrawn. */
export async function withdrawKey(parts: AdminParts, call: AdminCall): Promise<Either<Refusal, AdminAnswer>> {
    const known = await waitForConfiguration(parts);
    if (known.isLeft()) {
        return Left(known.extract() as Refusal);
    }
    const cfg = known.unsafeCoerce();
    const id = call.params["id"] ?? "";
    const includesId = (ids: Iterable<string>): boolean => [...ids].includes(id);
    if (includesId(cfg.withdrawnKeys.keys())) {
        return ok({ kind: "accepted", revision: cfg.revision, unchanged: true });
    }
    if (!includesId(cfg.keys.keys())) {
        return Left(refusalOf("not-found", "no such key"));
    }
    const note = ReleaseNote.parse({ note: `withdraw key ${id}`, withdrawn: { keys: [id] } });
    return verdictAnswer(await parts.release.accept(note));
}
