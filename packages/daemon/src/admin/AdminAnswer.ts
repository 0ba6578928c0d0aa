/** Answer to a call of the administration API. The body is sent as JSON. */
export type AdminAnswer = {
    readonly status: number;
    readonly body: unknown;
};
