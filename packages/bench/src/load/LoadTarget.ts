/** Describes where load is sent and with which keys. */
export type LoadTarget = {
    /** Base URLs of the daemons' caller listeners; `Arrival.daemon` is an index into this list. */
    readonly daemons: readonly string[];
    readonly model: string;
    readonly service: string;
    /** Path of the service whose calls must not be repeated. */
    readonly bookingPath: string;
    /** Path of the service whose calls may be repeated. */
    readonly lookupPath: string;
    /** Returns the API key of an organisation. */
    readonly keyOf: (organisation: string) => string;
};
