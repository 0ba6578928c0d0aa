/** The manual of a prompt, and the standard to which the manual belongs, by index. */
type PrefixChoice = { readonly standard: number; readonly manual: number; };

/** One planned request. It is sent at its time, independent of the results of earlier requests. */
type Arrival = {
    readonly id: number;
    /** Intended time of sending in milliseconds since the start of the run. */
    readonly at: number;
    readonly organisation: string;
    readonly kind: "long" | "short" | "booking" | "lookup";
    /** Index of the daemon to which the request is sent, as if chosen by a load balancer. */
    readonly daemon: number;
    /** `undefined` for calls of plain services and for short messages. */
    readonly prefix: PrefixChoice | undefined;
    readonly phase: string;
};

export type { Arrival, PrefixChoice };
