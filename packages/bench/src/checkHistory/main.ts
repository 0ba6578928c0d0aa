/**
 * Checks the history of one run of real processes: `check-history --seed N --faults LIST`. Exit codes: 0 all checks
 * passed, 1 one failed, 2 bad usage.
 */
import { checkSpending } from "@azureshunt/history";
import { cac } from "cac";
import { z } from "zod";

import { demoNote } from "../demo/demoNote.js";
import { demoPlan } from "../demo/demoPlan.js";
import { runProgram } from "../process/runProgram.js";
import { applyRelease } from "../topology/applyRelease.js";
import { withTopology } from "../topology/withTopology.js";
import { seededRandom } from "../workload/seededRandom.js";
import type { HistoryOutcome } from "./HistoryOutcome.js";
import { injectFaults } from "./injectFaults.js";
import { readModelRuns } from "./readModelRuns.js";
import { sendPoissonLoad } from "./sendPoissonLoad.js";

const OUTPUT_TOKENS = 4;
const MAX_PROMPT_TOKENS = 1_500;
const SETTLE_MS = 1_500;
/** Longest tolerated time from the daemon's charge for a request until the engine records its run. */
const MAX_CHARGE_TO_RUN_MS = 250;
const EXIT_USAGE = 2;
const FAULT_KINDS = ["restart", "replace", "pause", "leave", "platform"] as const;

const Options = z.object({
    seed: z.number().int().default(1),
    faults: z.string().default("none").transform(list => list === "none" ? [] : list.split(","))
        .pipe(z.array(z.enum(FAULT_KINDS))),
    seconds: z.number().positive().default(20),
    /** Requested tokens as a multiple of the organisation's rate. */
    demand: z.number().positive().default(0.6),
});
type Options = z.infer<typeof Options>;

const countBy = (outcomes: readonly HistoryOutcome[]): Readonly<Record<string, number>> =>
    outcomes.reduce<Record<string, number>>((counts, { status, code }) => {
        const name = code ?? `${status ?? "broken"}`;
        return { ...counts, [name]: (counts[name] ?? 0) + 1 };
    }, {});

const ALLOWANCE_REFUSAL_CODES = ["over-rate", "allowance-unreachable", "over-burst"];

const run = (options: Options): Promise<boolean> =>
    withTopology("history", demoPlan, async topology => {
        const demo = demoNote(topology);
        await applyRelease(topology, demo.note);
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
        const organisation = demo.organisations[2] ?? demo.organisations[0];
        if (organisation === undefined) {
            throw new Error("the note declares no organisation");
        }
        const { id, rate, burst, key } = organisation;
        const lengthMs = options.seconds * 1_000;
        const [outcomes, faults] = await Promise.all([
            sendPoissonLoad({
                daemons: topology.daemons,
                key,
                model: demo.model,
                demand: rate * options.demand,
                maxPromptTokens: MAX_PROMPT_TOKENS,
                outputTokens: OUTPUT_TOKENS,
                lengthMs,
                random: seededRandom(options.seed),
            }),
            injectFaults(topology, options.faults, lengthMs, seededRandom(options.seed + 1)),
        ]);
        faults.forEach(line => console.log(`fault after ${line}`));
        const runs = await readModelRuns(topology);
        const worstInterval = checkSpending(runs, { organisation: id, rate, burst, outputTokens: OUTPUT_TOKENS });
        const allowanceRefusals = outcomes.filter(outcome => ALLOWANCE_REFUSAL_CODES.includes(outcome.code ?? ""));
        const latencies = allowanceRefusals.map(outcome => outcome.latencyMs).sort((a, b) => a - b);
        const tokensOver = worstInterval?.over ?? 0;
        const wrongful = options.faults.length === 0 && options.demand < 1 ? allowanceRefusals.length : 0;
        console.log(`answers: ${JSON.stringify(countBy(outcomes))}`);
        console.log(
            `refusals for want of tokens: median ${(latencies[latencies.length >> 1] ?? 0).toFixed(1)} ms, longest ${
                (latencies.at(-1) ?? 0).toFixed(1)
            } ms`,
        );
        console.log(`spending: ${runs.length} runs, worst interval ${JSON.stringify(worstInterval)}`);
        console.log(
            `over rate and burst: ${Math.max(0, tokensOver - rate * MAX_CHARGE_TO_RUN_MS / 1_000).toFixed(0)} tokens`,
        );
        console.log(`refused inside the rate, without faults: ${wrongful}`);
        return tokensOver <= rate * MAX_CHARGE_TO_RUN_MS / 1_000 && wrongful === 0 && runs.length > 0;
    });

const cli = cac("check-history");
cli.option("--seed <number>", "seed of arrivals and faults");
cli.option("--faults <list>", `none, or of ${FAULT_KINDS.join(",")}`);
cli.option("--seconds <number>", "length of the run");
cli.option("--demand <factor>", "tokens asked for, as a multiple of the rate");
cli.help();
const { options } = cli.parse();
if (options["help"] !== true) {
    const parsed = Options.safeParse(options);
    if (!parsed.success) {
        console.error(`check-history: ${parsed.error.issues.map(issue => issue.message).join("; ")}`);
        process.exit(EXIT_USAGE);
    }
    runProgram("check-history", async () => {
        const passed = await run(parsed.data);
        console.log(`check-history: ${passed ? "ok" : "failed"}`);
        return passed ? 0 : 1;
    });
}
