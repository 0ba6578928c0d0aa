import { refusalOf } from "@azureshunt/core";
import type { ErrorKind, Ran } from "@azureshunt/core";
import test from "ava";

import { statusOf } from "../../serve/statusOf.js";

// Guards against a status that guarantees that a request has not run although a try may have: its caller books twice.
const cases: readonly (readonly [ErrorKind, Ran, number])[] = [
    ["overloaded", "no", 503],
    ["overloaded", "maybe", 502],
    ["overloaded", "yes", 502],
    ["no-endpoint", "no", 503],
    ["no-endpoint", "maybe", 502],
    ["over-rate", "no", 429],
    ["over-rate", "maybe", 502],
    ["shutting-down", "no", 503],
    ["shutting-down", "maybe", 502],
    ["headers-too-slow", "no", 408],
    ["headers-too-slow", "maybe", 502],
    ["request-quarantined", "no", 503],
    ["request-quarantined", "maybe", 502],
    ["not-found", "no", 404],
    ["deadline-exceeded", "maybe", 504],
    ["deadline-exceeded", "no", 504],
    ["endpoint-failed", "maybe", 502],
];

cases.forEach(([kind, ran, status]) => {
    test(`statusOf: ${kind}, ran: ${ran}`, t => {
        t.is(statusOf(refusalOf(kind, undefined, { ran })), status);
    });
});
