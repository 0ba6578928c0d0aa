/** Where load is sent, and as whom. */
export type LoadTarget = {
    /** Base URLs of the daemons' caller listeners; an arrival names one by its index. */
    readonly daemons: readonly string[];
    readonly model: string;
    readonly service: string;
    /** Path of the service whose calls may not be repeated, and one whose calls may. */
    readonly bookingPath: string;
    readonly lookupPath: string;
    /** The key of an organisation. */
    readonly keyOf: (organisation: string) => string;
};
