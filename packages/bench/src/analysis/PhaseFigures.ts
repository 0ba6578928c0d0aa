import type { Percentiles } from "./Percentiles.js";

/** How one organisation fared in a phase. */
type OrganisationFigures = {
    readonly organisation: string;
    readonly offered: number;
    readonly complete: number;
    /** Complete requests as a part of those that its rate and burst allowed. */
    readonly servedPart: number;
    readonly firstToken: Percentiles;
};

/** The figures of one phase of a run. */
type PhaseFigures = {
    readonly phase: string;
    readonly requests: number;
    readonly complete: number;
    readonly refused: number;
    /** Refused though due: what one ideal allowance an organisation would have accepted, less what was. */
    readonly wrongful: number;
    /** Refused as strictness demands while something is out of reach; counted apart from the wrongful ones. */
    readonly unavoidable: number;
    /** Refusals by the code of their error. */
    readonly refusedBy: Readonly<Record<string, number>>;
    /** Neither complete nor truthfully refused as not run. */
    readonly broken: number;
    /** From the intended time to the first token. */
    readonly firstToken: Percentiles;
    /** Part of all prompt tokens that was found in the cache of the engine chosen. */
    readonly hitRate: number;
    /** The same for an oracle that knows every cache. */
    readonly oracleHitRate: number;
    /** Tokens computed though a live engine held them. */
    readonly recomputedTokens: number;
    readonly organisations: readonly OrganisationFigures[];
};

export type { OrganisationFigures, PhaseFigures };
