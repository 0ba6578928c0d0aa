/** The daemon that the tool talks to. */
export type Target = {
    /** Base URL of an administration listener. */
    readonly url: string;
    /** Administration key. Never printed. */
    readonly key: string;
};
