import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Right } from "purify-ts";

import type { AcceptOutcome } from "../configuration/AcceptOutcome.js";
import type { AdminAnswer } from "./AdminAnswer.js";

const STATUS: Readonly<Record<AcceptOutcome["kind"], number>> = {
    "accepted": 200,
    "conflict": 409,
    "invalid": 400,
    "not-appended": 503,
    "not-known": 504,
};

/** Returns the answer to a change of the configuration: its outcome, with `extraFields` in the same object. */
export function verdictAnswer(outcome: AcceptOutcome, extraFields: object = {}): Either<Refusal, AdminAnswer> {
    return Right({ status: STATUS[outcome.kind], body: { ...extraFields, ...outcome } });
}
