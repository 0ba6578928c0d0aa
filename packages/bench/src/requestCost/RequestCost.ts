import type { CostKind } from "./CostKind.js";
import type { CostStage } from "./CostStage.js";

/** The middle one of several runs, and the least and the greatest one. */
type Spread = { readonly median: number; readonly least: number; readonly greatest: number; };

/** What the router and the bare proxy spent on one kind of request. */
type KindCost = {
    readonly kind: CostKind;
    /** Requests that were sent to each of the two, and those of them that were answered as a whole. */
    readonly sent: number;
    readonly answeredByRouter: number;
    readonly answeredByProxy: number;
    /** CPU time per request in milliseconds, without what each spends when idle. */
    readonly routerMs: Spread;
    readonly proxyMs: Spread;
    /** Ratio of the two, of runs that followed each other. */
    readonly ratio: Spread;
    /** Milliseconds to the first byte of the answer's body, as callers saw it. */
    readonly routerFirstByteMs: Spread;
    readonly proxyFirstByteMs: Spread;
    /** The router's CPU time per request in milliseconds by stage, from a profile of a further run. */
    readonly stagesMs: Readonly<Record<CostStage, number>>;
};

/** CPU time that one VM spends per request, beside a bare proxy. */
export type RequestCost = {
    readonly perSecond: number;
    readonly secondsPerRun: number;
    readonly pairs: number;
    /** CPU time of an idle second in milliseconds. */
    readonly routerIdleMs: number;
    readonly kinds: readonly KindCost[];
};
