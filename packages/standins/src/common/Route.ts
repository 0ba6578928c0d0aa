import type { HttpRequest } from "./HttpRequest.js";

/** Handler of the requests with one method and one pattern of paths. */
export type Route = {
    /** `undefined` matches every method. */
    readonly method: string | undefined;
    readonly pattern: RegExp;
    readonly handle: (request: HttpRequest) => Promise<void> | void;
};
