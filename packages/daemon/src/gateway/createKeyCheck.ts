import type { Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { ReleasePort } from "../ports/ReleasePort.js";

/**
 * Creates the check of a call's key that is repeated before every try.
 *
 * A key may be withdrawn while its request waits in a queue or between two tries. Symptom: work done for a withdrawn key.
 * To prevent this, the key's id is looked up in the newest configuration right before each try is sent.
 */
export function createKeyCheck(release: ReleasePort): (call: Call) => Either<Refusal, Call> {
    return call =>
        release.current()?.keys.get(call.keyId)?.organisation === call.organisation
            ? Right(call)
            : Left(refusalOf("withdrawn-key"));
}
