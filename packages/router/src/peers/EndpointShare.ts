import type { Tokens } from "@azureshunt/core";

/** Load at one endpoint of the requests of one VM, or of several VMs together. */
export type EndpointShare = {
    /** Number of requests there, including those whose answer has not started. */
    readonly running: number;
    /** Prompt tokens to prefill for the requests whose answer has not started. */
    readonly waitingTokens: Tokens;
    /** Tokens of prompts and answers that the requests will occupy in the KV cache. */
    readonly memoryTokens: Tokens;
    /** Bytes of bodies that the endpoint does not read; absent if there are none. VMs of earlier versions do not send it. */
    readonly unreadBytes?: number;
};
