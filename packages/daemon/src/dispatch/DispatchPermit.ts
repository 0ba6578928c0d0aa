/** Permission to send a call that may not be repeated. */
export type DispatchPermit = {
    /** Called right before the first byte can be sent; returns false if the call must not be sent. */
    readonly begin: () => boolean;
    /** Called after a try that certainly did not run the call; `begin` may then be called again. */
    readonly notRun: () => void;
};
