import type { EndpointName, Millis } from "@azureshunt/core";

/** What a VM has sent to one brittle endpoint. */
type EndpointTries = {
    /** Second of the clock in which the last try was made that it may have had to refuse. */
    readonly second: number;
    /** Tries in that second that it may have had to refuse. */
    readonly riskyTries: number;
    /** It gets nothing from this VM until then, as it refused a request. */
    readonly pausedUntil: Millis;
    /** Fraction of this VM's requests that may go there, as its load was seen to be. */
    readonly fraction: number;
    /** When its load was last seen. */
    readonly seenAt: Millis;
};

/** What a VM knows of the brittle endpoints of one service. */
export type BrittleState = {
    /** Refusals in a second, by all VMs together, that each endpoint bears. */
    readonly maxRefusals: number;
    /** When an endpoint last said so; `-Infinity` if none has. */
    readonly announcedAt: Millis;
    readonly tries: ReadonlyMap<EndpointName, EndpointTries>;
};
