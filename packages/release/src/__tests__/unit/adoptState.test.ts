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

// A starting daemon that adopted the state of an outdated or diverged peer would restore an old configuration.
const CASES = [
    { title: "a state that is ahead is adopted", other: stateAt(9, 4, "b"), isAdopted: true },
    { title: "a state that is ahead at the same revision is adopted", other: stateAt(9, 3, "a"), isAdopted: true },
    { title: "an outdated state is not adopted", other: stateAt(4, 2, "b"), isAdopted: false },
    { title: "a state at the same offset is not adopted", other: stateAt(5, 3, "a"), isAdopted: false },
    { title: "a lower revision is not adopted, even at a higher offset", other: stateAt(9, 2, "b"), isAdopted: false },
    { title: "a different digest at the same revision is not adopted", other: stateAt(9, 3, "b"), isAdopted: false },
];

CASES.forEach(({ title, other, isAdopted }) =>
    test(`another reader's state: ${title}`, t => {
        t.is(adoptState(OWN, other), isAdopted ? other : OWN);
    })
);
