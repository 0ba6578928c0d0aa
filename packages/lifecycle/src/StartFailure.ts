import type { ExitCause } from "./ExitCause.js";

/** A start that failed for a known reason: ends the process with that cause instead of `start-failed`. */
export class StartFailure extends Error {
    readonly exitCause: ExitCause;

    constructor(exitCause: ExitCause, message: string) {
        super(message);
        this.name = "StartFailure";
        this.exitCause = exitCause;
    }
}
