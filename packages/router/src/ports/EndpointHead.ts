import type { Millis } from "@azureshunt/core";

/** Decoded head of an endpoint's answer. */
export type EndpointHead = {
    readonly status: number;
    /** Id of the request that it answers. */
    readonly requestId: string | undefined;
    /** Whether it carries the endpoint's seal. A success without a seal is not genuine. */
    readonly isSealed: boolean;
    /** Whether the endpoint guarantees that it has not run the request. */
    readonly isNotRun: boolean;
    /** Whether the body was encoded in transit, so that it is not the body that the endpoint sent. */
    readonly isEncoded: boolean;
    /**
     * Refusals in a second, caused by all VMs together, after which the endpoint falls over; undefined if it is not
     * brittle.
     */
    readonly maxRefusals: number | undefined;
    /**
     * Requests a second that the endpoint takes from all VMs together; undefined if it names no limit, `"unreadable"` if
     * what it names is no decimal number.
     */
    readonly limit: number | "unreadable" | undefined;
    /** Whether the endpoint says that it leaves. */
    readonly isLeaving: boolean;
    /**
     * Time for which the endpoint asks this VM for no requests; undefined if it asks for none, `"unreadable"` if what it
     * states is no time.
     */
    readonly retryAfterMs: Millis | "unreadable" | undefined;
    /** Headers of the platform that this router does not know or whose value it cannot read, the latter with the value. */
    readonly ignoredHeaders: readonly string[];
    /** Version of the weights that produced the answer. */
    readonly weights: number | undefined;
};
