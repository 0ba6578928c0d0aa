import type { Dispatcher } from "undici";

/** HTTP connections to endpoints, by the endpoint's URL. */
export type EndpointConnections = {
    /** Returns the endpoint's connection pool. */
    readonly pooled: (url: string) => Dispatcher;
    /**
     * Returns a connection for one call, which the caller destroys afterwards. Since it is opened for the call, the
     * endpoint was reachable just before the request is sent.
     */
    readonly dedicated: (url: string) => Dispatcher;
    /** Uses no connection that is open now for new calls; calls in flight on them finish. */
    readonly retirePool: (url: string) => void;
    readonly stop: () => Promise<void>;
};
