import type { PhaseFigures } from "../analysis/PhaseFigures.js";
import type { RunFigures } from "../analysis/RunFigures.js";
import type { Bar } from "../report/Bar.js";
import { renderBars } from "../report/renderBars.js";
import type { MeasureFile } from "./MeasureFile.js";

/** A chart with its file name. */
type Chart = { readonly file: string; readonly svg: string; };

/** The figure of each run that a chart shows. */
type Measure = {
    readonly name: string;
    readonly title: string;
    readonly unit: string;
    readonly phase: PhaseFigures["phase"];
    readonly pick: (phase: PhaseFigures) => number;
};

const MEASURES: readonly Measure[] = [
    {
        name: "hit-rate",
        title: "Prefix hit rate, steady",
        unit: "",
        phase: "steady",
        pick: ({ hitRate }) => hitRate,
    },
    {
        name: "first-token-p99",
        title: "Time to first token, p99, steady",
        unit: "ms",
        phase: "steady",
        pick: ({ firstToken }) => firstToken.p99,
    },
    {
        name: "first-token-p99-shifted",
        title: "Time to first token, p99, after the hot prefixes shifted",
        unit: "ms",
        phase: "shifted",
        pick: ({ firstToken }) => firstToken.p99,
    },
    {
        name: "recomputed",
        title: "Tokens recomputed though a live engine held them, steady",
        unit: "tokens",
        phase: "steady",
        pick: ({ recomputedTokens }) => recomputedTokens,
    },
];

const barsOf = (run: RunFigures, measure: Measure): readonly Bar[] =>
    run.phases
        .filter(({ phase }) => phase === measure.phase)
        .map(phase => ({ group: run.workload, label: run.policy, value: measure.pick(phase) }));

/** Renders the charts of a measurement. */
export function chartsOf({ runs }: MeasureFile): readonly Chart[] {
    return MEASURES.map(measure => ({
        file: `${measure.name}.svg`,
        svg: renderBars(measure.title, measure.unit, runs.flatMap(run => barsOf(run, measure))),
    }));
}
