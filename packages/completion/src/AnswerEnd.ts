import type { ConnectionEnd } from "./ConnectionEnd.js";
import type { Framing } from "./Framing.js";

/** What was seen of an answer that has ended. */
export type AnswerEnd = {
    readonly framing: Framing;
    /** Whether the parser reached the end that the framing asks for. */
    readonly isParsed: boolean;
    readonly connectionEnd: ConnectionEnd;
    /** Whether all bytes of the request had been written to the connection by then. */
    readonly isRequestSent: boolean;
    /** Whether the time is up that the endpoint was given: it stops then, and may end what it has sent so far. */
    readonly isTimeUp: boolean;
};
