import test from "ava";

import { choosePlace } from "../../placement/choosePlace.js";
import { sampleCandidates } from "../../placement/sampleCandidates.js";
import { candidateOf } from "../support/candidateOf.js";
import { seededRandom } from "../support/seededRandom.js";

const SEED = 20_261_203;
const ENGINES = 40;
const CHOOSERS = 60;
/** Between two beacons to one VM among so many. */
const NEWS_MS = 1_000;
const PROMPT = 6_000;
/** Prompt tokens that an engine reads between two arrivals, with arrivals at three quarters of what all can read. */
const ARRIVAL_MS = 2;
const READ_PER_ARRIVAL = PROMPT / (ENGINES * 0.75);
const ARRIVALS = 4_000;

/** Many VMs place prompts by what they last heard and by their own choices since; gives the mean queue that prompts met. */
const meanQueue = (choosers: number): number => {
    const random = seededRandom(SEED);
    const queues = Array.from({ length: ENGINES }, () => 0);
    const heard = Array.from({ length: CHOOSERS }, () => queues.map(() => 0));
    const met = { tokens: 0 };
    Array.from({ length: ARRIVALS }, (_, i) => i).forEach(i => {
        const vm = Math.floor(random() * CHOOSERS);
        const known = heard[vm] ?? [];
        if (i % (NEWS_MS / ARRIVAL_MS) === 0) {
            heard.forEach((_, j) => heard[j] = [...queues]);
        }
        const candidates = queues.map((_, e) =>
            candidateOf(`${e}`, { missingTokens: PROMPT, waitingTokens: (heard[vm] ?? known)[e] ?? 0 })
        );
        const chosen = Number(choosePlace(sampleCandidates(candidates, choosers, random), 0, random)?.candidate.name);
        met.tokens += queues[chosen] ?? 0;
        queues[chosen] = (queues[chosen] ?? 0) + PROMPT;
        (heard[vm] ?? [])[chosen] = ((heard[vm] ?? [])[chosen] ?? 0) + PROMPT;
        queues.forEach((tokens, e) => {
            queues[e] = Math.max(0, tokens - READ_PER_ARRIVAL);
        });
    });
    return met.tokens / ARRIVALS;
};

// Dozens of VMs that hear of load late all choose the same engines, and queues grow there.
test("sampleCandidates: with load known late, drawing among a few makes the queues that prompts meet half as long", t => {
    const all = meanQueue(1);
    const drawn = meanQueue(CHOOSERS);
    t.true(drawn < all / 2, `${Math.round(drawn)} tokens before a prompt, ${Math.round(all)} without drawing`);
});

const some = Array.from({ length: ENGINES }, (_, i) => candidateOf(`e${i}`));

test("sampleCandidates: few VMs choose among all", t => {
    t.is(sampleCandidates(some, 6, seededRandom(SEED)), some);
});

test("sampleCandidates: an engine that holds the prompt's parts is among those drawn", t => {
    const holder = candidateOf("holder", { missingTokens: 100 });
    const drawn = sampleCandidates([...some, holder], CHOOSERS, seededRandom(SEED));
    t.true(drawn.includes(holder));
    t.true(drawn.length < some.length / 4);
});

test("sampleCandidates: one that would have to fetch them is drawn by chance only", t => {
    const fetching = candidateOf("fetching", { missingTokens: 100, fetchedTokens: 5_900 });
    const random = seededRandom(SEED);
    const draws = Array.from({ length: 20 }, () => sampleCandidates([...some, fetching], CHOOSERS, random));
    t.true(draws.filter(drawn => drawn.includes(fetching)).length < draws.length / 2);
});
