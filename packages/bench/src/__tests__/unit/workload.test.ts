import test from "ava";

import { readStreamText } from "../../load/readStreamText.js";
import { allowanceOf } from "../../workload/allowanceOf.js";
import { costOf } from "../../workload/costOf.js";
import { hoangLong } from "../../workload/hoangLong.js";
import { lantulAlb } from "../../workload/lantulAlb.js";
import { phasesOf } from "../../workload/phasesOf.js";
import { planArrivals } from "../../workload/planArrivals.js";
import { promptOf } from "../../workload/promptOf.js";

const SEED = 11;
const SECONDS = 60;
const BYTES_PER_TOKEN = 4;

[lantulAlb, hoangLong].forEach(workload => {
    const arrivals = planArrivals(workload, phasesOf(SECONDS), SEED);
    const steady = arrivals.filter(({ phase }) => phase === "steady");

    test(`workload ${workload.name}: the same seed gives the same plan`, t => {
        t.deepEqual(planArrivals(workload, phasesOf(SECONDS), SEED), arrivals);
        t.notDeepEqual(planArrivals(workload, phasesOf(SECONDS), SEED + 1), arrivals);
    });

    test(`workload ${workload.name}: requests arrive at the declared rate`, t => {
        const perSecond = steady.length / (SECONDS * 0.4);
        t.true(Math.abs(perSecond / workload.requestsPerSecond - 1) < 0.15);
    });

    test(`workload ${workload.name}: the noisy organisation sends several times its rate in its phase only`, t => {
        const { id, factor } = workload.noisy;
        const share = workload.organisations.find(one => one.id === id)?.share ?? 0;
        const { rate } = allowanceOf(workload, share);
        const sentPerSecond = arrivals
            .filter(({ phase, organisation }) => phase === "noisy" && organisation === id)
            .reduce((sum, { kind }) => sum + costOf(workload, kind), 0) / (SECONDS * 0.3);
        t.true(Math.abs(sentPerSecond / (rate * factor) - 1) < 0.2);
    });

    test(`workload ${workload.name}: a prompt has the number of tokens that it is charged for`, t => {
        const long = arrivals.find(({ kind }) => kind === "long");
        t.truthy(long);
        if (long !== undefined) {
            const tokens = promptOf(workload, long).length / BYTES_PER_TOKEN;
            t.is(tokens + workload.longAnswerTokens, costOf(workload, "long"));
        }
    });
});

const INITIAL_READING = {
    nextPosition: 0,
    inOrder: true,
    done: false,
    errorCode: undefined,
    ran: undefined,
    partialLine: "",
};
const token = (position: number) => `data: {"position":${position},"choices":[]}\n\n`;

[
    { name: "complete", text: `${token(0)}${token(1)}data: [DONE]\n\n`, expected: { nextPosition: 2, done: true } },
    { name: "with a gap", text: `${token(0)}${token(2)}`, expected: { inOrder: false, done: false } },
    { name: "with a repetition", text: `${token(0)}${token(0)}`, expected: { inOrder: false } },
    {
        name: "ended by an error",
        text: "event: error\ndata: {\"error\":{\"code\":\"stream-lost\",\"ran\":\"maybe\"}}\n\n",
        expected: { errorCode: "stream-lost", ran: "maybe", done: false },
    },
].forEach(({ name, text, expected }) =>
    test(`stream reading: ${name}, in several parts`, t => {
        const parts = [text.slice(0, 9), text.slice(9, 31), text.slice(31)];
        t.like(parts.reduce(readStreamText, INITIAL_READING), expected);
    })
);
