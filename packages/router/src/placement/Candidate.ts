import type { EndpointName, Millis, Tokens } from "@azureshunt/core";

import type { EndpointHealth } from "./EndpointHealth.js";

/** One endpoint that could take a request, as it stands now. */
export type Candidate = {
    readonly name: EndpointName;
    readonly health: EndpointHealth;
    /** Whether it stands in this VM's failure domain. */
    readonly isNear: boolean;
    readonly slots: number;
    /** Requests that it runs or holds, from this VM and as the other VMs last told. */
    readonly running: number;
    /** Prompt tokens of requests that it has not begun to answer. */
    readonly waitingTokens: Tokens;
    /** Tokens that its requests hold in its memory; 0 at plain services. */
    readonly memoryTokens: Tokens;
    /** 0 at plain services. */
    readonly memorySize: Tokens;
    /** Prompt tokens of this request that it must read itself. */
    readonly missingTokens: Tokens;
    /** How long newer weights than its own have been named; undefined where it holds the newest. */
    readonly outdatedMs: Millis | undefined;
    /** How long it has given no sign of life beyond what is usual; 0 where all is well. */
    readonly silentMs: Millis;
    /** How long its failure domain has been out of hearing; 0 where it is this VM's own. */
    readonly quietMs: Millis;
    /** Prompt tokens that it can fetch from elsewhere in place of reading them. */
    readonly fetchedTokens: Tokens;
};
