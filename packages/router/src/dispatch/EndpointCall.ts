import type { Millis } from "@azureshunt/core";
import type { FlowBounds } from "@azureshunt/flow";

/** One request to one endpoint, ready to be sent. */
export type EndpointCall = {
    /** `host:port`. */
    readonly address: string;
    readonly method: string;
    readonly target: string;
    /** Alternating names and values, as sent. */
    readonly headers: readonly string[];
    readonly body: Buffer;
    /** Maximum idle time of a connection that may be reused for this call. */
    readonly maxIdleMs: Millis;
    /** Whether the call may be sent again if its connection is lost. Defaults to false. */
    readonly isRepeatable?: boolean;
    /** Time limit for the head of the answer. After it the try counts as silent, unless `isAlive` returns true and the connection is proven. */
    readonly headMs: Millis;
    /**
     * Whether other activity shows that the endpoint is alive, so that it is worth waiting longer. Defaults to false.
     */
    readonly isAlive?: () => boolean;
    /**
     * Whether the call may still be sent, asked right before its bytes go out, as opening a connection may have taken
     * long. If not, the call ends as cancelled. Defaults to true.
     */
    readonly maySend?: () => boolean;
    /** Bounds on the head of the answer; those of `defaultBounds` if omitted. */
    readonly bounds?: Pick<FlowBounds, "headBytes" | "progressMs">;
    /** Called when the body is given to Node; returns a function that is called when the system has taken it. */
    readonly onBody?: (address: string, bytes: number) => () => void;
};
