import type { ServerResponse } from "node:http";

import type { RunClaims } from "./RunClaims.js";

/** Creates the claims of requests by their responses. */
export function createRunClaims(): RunClaims {
    const passedOn = new WeakSet<ServerResponse>();
    const refused = new WeakSet<ServerResponse>();
    const claim = (res: ServerResponse, own: WeakSet<ServerResponse>, other: WeakSet<ServerResponse>): boolean => {
        if (other.has(res)) {
            return false;
        }
        own.add(res);
        return true;
    };
    return {
        passOn: res => claim(res, passedOn, refused),
        refuse: res => claim(res, refused, passedOn),
    };
}
