import test from "ava";

import { choosePlace } from "../../placement/choosePlace.js";
import { sampleCandidates } from "../../placement/sampleCandidates.js";
import { candidateOf } from "../support/candidateOf.js";
import { seededRandom } from "../support/seededRandom.js";

const SEED = 20_261_203;
const ENGINES = 40;
const PLACING_VMS = 60;
/** Beacon interval to one VM with this many VMs. */
const BEACON_INTERVAL_MS = 1_000;
const PROMPT = 6_000;
const ARRIVAL_MS = 2;
/** Prompt tokens that an engine prefills between two arrivals; arrivals are at three quarters of the total capacity. */
const PREFILL_PER_ARRIVAL = PROMPT / (ENGINES * 0.75);
const ARRIVALS = 4_000;

/**
 * Simulates VMs that place prompts by the load last received and by their own choices since then.
 *
 * @returns the mean queue in tokens that a prompt found at its engine
 */
const meanQueue = (placingVms: number): number => {
    const random = seededRandom(SEED);
    const queues = Array.from({ length: ENGINES }, () => 0);
    const received = Array.from({ length: PLACING_VMS }, () => queues.map(() => 0));
    const found = { tokens: 0 };
    Array.from({ length: ARRIVALS }, (_, i) => i).forEach(i => {
        const vm = Math.floor(random() * PLACING_VMS);
        const known = received[vm] ?? [];
        if (i % (BEACON_INTERVAL_MS / ARRIVAL_MS) === 0) {
            received.forEach((_, j) => received[j] = [...queues]);
        }
        const candidates = queues.map((_, e) =>
            candidateOf(`${e}`, { missingTokens: PROMPT, waitingTokens: (received[vm] ?? known)[e] ?? 0 })
        );
        const chosen = Number(choosePlace(sampleCandidates(candidates, placingVms, random), 0, random)?.candidate.name);
        found.tokens += queues[chosen] ?? 0;
        queues[chosen] = (queues[chosen] ?? 0) + PROMPT;
        (received[vm] ?? [])[chosen] = ((received[vm] ?? [])[chosen] ?? 0) + PROMPT;
        queues.forEach((tokens, e) => {
            queues[e] = Math.max(0, tokens - PREFILL_PER_ARRIVAL);
        });
    });
    return found.tokens / ARRIVALS;
};

// Dozens of VMs that receive load late all choose the same engines, and queues grow there.
test("sampleCandidates: with outdated load, choosing among a few drawn engines halves the queues", t => {
    const all = meanQueue(1);
    const drawn = meanQueue(PLACING_VMS);
    t.true(drawn < all / 2, `${Math.round(drawn)} tokens before a prompt, ${Math.round(all)} without drawing`);
});

const some = Array.from({ length: ENGINES }, (_, i) => candidateOf(`e${i}`));

test("sampleCandidates: few VMs choose among all candidates", t => {
    t.is(sampleCandidates(some, 6, seededRandom(SEED)), some);
});

test("sampleCandidates: an engine that holds the prompt's parts is always drawn", t => {
    const holder = candidateOf("holder", { missingTokens: 100 });
    const drawn = sampleCandidates([...some, holder], PLACING_VMS, seededRandom(SEED));
    t.true(drawn.includes(holder));
    t.true(drawn.length < some.length / 4);
});

test("sampleCandidates: an engine that would have to fetch the parts is drawn only by chance", t => {
    const fetching = candidateOf("fetching", { missingTokens: 100, fetchedTokens: 5_900 });
    const random = seededRandom(SEED);
    const draws = Array.from({ length: 20 }, () => sampleCandidates([...some, fetching], PLACING_VMS, random));
    t.true(draws.filter(drawn => drawn.includes(fetching)).length < draws.length / 2);
});
