/** The daemon that the tool calls. */
export type Target = {
    /** Base URL of an administration listener. */
    readonly url: string;
    /** Administration key. It must never be printed. */
    readonly key: string;
};
