import { randomBytes, randomUUID } from "node:crypto";

import { KeyId, OrganisationId, type Refusal, refusalOf } from "@azureshunt/core";
import { newKey } from "@azureshunt/organisation";
import { faultText, ReleaseNote, validateNote } from "@azureshunt/release";
import { type Either, Left } from "purify-ts";
import { z } from "zod";

import { parseJson } from "../gateway/parseJson.js";
import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";
import { verdictAnswer } from "./verdictAnswer.js";
import { waitForConfiguration } from "./waitForConfiguration.js";

const KEY_BYTES = 32;

/** Request for a new key: an administration key if `organisation` is undefined, else a key of its callers. */
const KeyRequest = z.strictObject({
    id: KeyId.optional(),
    organisation: OrganisationId.optional(),
});

/** Creates a key and releases its digest. The key is only ever in this answer, and only if the note was accepted. */
async function giveKey(parts: AdminParts, call: AdminCall): Promise<Either<Refusal, AdminAnswer>> {
    const request = parseJson(KeyRequest, call.body);
    const cfg = await waitForConfiguration(parts);
    if (request.isLeft() || cfg.isLeft()) {
        return Left((request.isLeft() ? request : cfg).extract() as Refusal);
    }
    const { id = KeyId.parse(`key-${randomUUID()}`), organisation } = request.unsafeCoerce();
    const kind = organisation === undefined ? "admin" : "caller";
    const { key, digest } = newKey(kind, randomBytes(KEY_BYTES));
    const note = ReleaseNote.parse({
        note: `give key ${id}`,
        added: { keys: [{ id, kind, organisation, digest }] },
    });
    const faults = validateNote(cfg.unsafeCoerce(), note);
    if (faults.length > 0) {
        return Left(refusalOf("bad-request", faults.map(faultText).join("; ")));
    }
    const outcome = await parts.release.accept(note);
    return verdictAnswer(outcome, outcome.kind === "accepted" ? { id, keyKind: kind, organisation, key } : { id });
}

export { giveKey, KeyRequest };
