/** What a call of the administration API is answered; the body goes out as JSON. */
export type AdminAnswer = {
    readonly status: number;
    readonly body: unknown;
};
