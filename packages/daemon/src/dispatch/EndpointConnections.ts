import type { Dispatcher } from "undici";

/** Connections to endpoints. */
export type EndpointConnections = {
    /** The pool of an endpoint's connections. */
    readonly pooled: (url: string) => Dispatcher;
    /**
     * A connection of its own for one call, closed after it. It is opened for the call, so the endpoint has just proved
     * that it is there.
     */
    readonly fresh: (url: string) => Dispatcher;
    /** Uses none of the connections open now for a new call; calls that run on them finish. */
    readonly distrust: (url: string) => void;
    readonly stop: () => Promise<void>;
};
