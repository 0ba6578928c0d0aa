import test from "ava";

import { initialHealth } from "../../placement/initialHealth.js";
import { preferReachable } from "../../placement/preferReachable.js";
import { candidateOf } from "../support/candidateOf.js";

const NOW = 1_000;

const known = candidateOf("known", { running: 9, ownRunning: 9 });
const listed = candidateOf("listed", { hasBeenReached: false });
const tried = candidateOf("tried", { hasBeenReached: false, ownRunning: 1 });
const inBackoff = candidateOf("inBackoff", { health: { ...initialHealth, backoffUntil: NOW + 1 } });

// Guards against endpoints at which nothing listens drawing the requests of those that answer, and against connections
// that are tried in vain without end.
[
    { name: "one that never answered gets a first try", from: [known, listed], left: "known listed" },
    { name: "one that never answered gets one request at a time", from: [known, tried], left: "known" },
    { name: "none has answered yet", from: [listed, tried], left: "listed tried" },
    { name: "after one was not reached", from: [known, listed], isAfterUnreached: true, left: "known" },
    { name: "after one was not reached, none has answered", from: [listed], isAfterUnreached: true, left: "listed" },
    { name: "one in backoff beside another one", from: [inBackoff, listed], left: "listed" },
    { name: "all in backoff", from: [inBackoff], isAfterUnreached: true, left: "inBackoff" },
    { name: "all in backoff after many were not reached", from: [inBackoff], mayBeInBackoff: false, left: "" },
].forEach(({ name, from, isAfterUnreached = false, mayBeInBackoff = true, left }) => {
    test(`preferReachable: ${name}`, t => {
        const placeable = from.map(candidate => ({ candidate }));
        const preferred = preferReachable(placeable, NOW, { isAfterUnreached, mayBeInBackoff });
        t.is(preferred.map(({ candidate }) => candidate.name).join(" "), left);
    });
});
