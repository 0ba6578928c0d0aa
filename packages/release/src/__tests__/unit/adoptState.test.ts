import test from "ava";

import { adoptState } from "../../adoptState.js";
import type { ConfigurationState } from "../../ConfigurationState.js";
import { initialState } from "../../initialState.js";

const stateAt = (offset: number, revision: number, digest: string): ConfigurationState => ({
    ...initialState,
    offset,
    digest: digest.repeat(64),
    configuration: { ...initialState.configuration, revision },
});

const OWN = stateAt(5, 3, "a");

// A starting daemon takes the state of a peer that lags or has gone astray, and brings a replaced configuration back.
const CASES = [
    { title: "further on is taken", other: stateAt(9, 4, "b"), taken: true },
    { title: "further on at the same revision is taken", other: stateAt(9, 3, "a"), taken: true },
    { title: "behind is not taken", other: stateAt(4, 2, "b"), taken: false },
    { title: "as far is not taken", other: stateAt(5, 3, "a"), taken: false },
    { title: "a lower revision is not taken at any offset", other: stateAt(9, 2, "b"), taken: false },
    { title: "another digest of the same revision is not taken", other: stateAt(9, 3, "b"), taken: false },
];

CASES.forEach(({ title, other, taken }) =>
    test(`another reader's state: ${title}`, t => {
        t.is(adoptState(OWN, other), taken ? other : OWN);
    })
);
