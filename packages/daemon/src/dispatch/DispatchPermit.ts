/** The permission to send a call that may not be repeated. */
export type DispatchPermit = {
    /** To be called right before a first byte can go out; false when it must not. */
    readonly begin: () => boolean;
    /** To be called after a try that surely did not run the call; `begin` may then be asked again. */
    readonly notRun: () => void;
};
