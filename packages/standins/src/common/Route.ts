import type { HttpRequest } from "./HttpRequest.js";

/** What answers requests of one method and path. */
export type Route = {
    /** Undefined takes every method. */
    readonly method: string | undefined;
    readonly pattern: RegExp;
    readonly handle: (request: HttpRequest) => Promise<void> | void;
};
