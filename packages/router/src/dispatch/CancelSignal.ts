/** What calls need of an `AbortSignal`. Creating one with its controller costs as much as several timers. */
export type CancelSignal = {
    readonly aborted: boolean;
    readonly addEventListener: (kind: "abort", listener: () => void, options: { readonly once: true; }) => void;
    readonly removeEventListener: (kind: "abort", listener: () => void) => void;
};
