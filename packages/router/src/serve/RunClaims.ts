import type { ServerResponse } from "node:http";

/** Decides once for each request whether it is passed on, so that none that was refused as not run runs later. */
export type RunClaims = {
    /** To be called before a request is passed on to an endpoint; `false` if it was refused as not run. */
    readonly passOn: (res: ServerResponse) => boolean;
    /** To be called before a request is refused as not run; `false` if it has been passed on. */
    readonly refuse: (res: ServerResponse) => boolean;
};
