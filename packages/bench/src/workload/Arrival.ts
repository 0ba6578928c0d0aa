/** Which manual a prompt is about. */
type PrefixChoice = { readonly standard: number; readonly manual: number; };

/** One request that is going to be sent, whatever became of those before it. */
type Arrival = {
    readonly id: number;
    /** Milliseconds from the start of the run. */
    readonly at: number;
    readonly organisation: string;
    readonly kind: "long" | "short" | "booking" | "lookup";
    /** Index of the daemon that the balancer chose. */
    readonly daemon: number;
    /** Undefined for calls of plain services and for short messages. */
    readonly prefix: PrefixChoice | undefined;
    readonly phase: string;
};

export type { Arrival, PrefixChoice };
