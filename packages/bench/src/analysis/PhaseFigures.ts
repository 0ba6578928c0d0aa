import type { Percentiles } from "./Percentiles.js";

/** Results of one organisation in a phase. */
type OrganisationFigures = {
    readonly organisation: string;
    readonly offered: number;
    readonly complete: number;
    /** Complete requests as a fraction of those that its rate and burst allowed. */
    readonly servedPart: number;
    readonly firstToken: Percentiles;
};

type PhaseFigures = {
    readonly phase: string;
    readonly requests: number;
    readonly complete: number;
    readonly refused: number;
    /** Wrongful refusals: requests that an ideal allowance per organisation would have accepted, less those accepted. */
    readonly wrongful: number;
    /** Refused because something that strict limits depend on was unreachable; not counted in `wrongful`. */
    readonly unavoidable: number;
    /** Refusals by error code. */
    readonly refusedBy: Readonly<Record<string, number>>;
    /** Neither complete nor refused with the statement that the request has not run. */
    readonly broken: number;
    /** From the intended time to the first token. */
    readonly firstToken: Percentiles;
    /** Fraction of all prompt tokens found in the cache of the chosen engine. */
    readonly hitRate: number;
    /** The same for an oracle that knows every cache. */
    readonly oracleHitRate: number;
    /** Tokens prefilled although a live engine had them cached. */
    readonly recomputedTokens: number;
    readonly organisations: readonly OrganisationFigures[];
};

export type { OrganisationFigures, PhaseFigures };
