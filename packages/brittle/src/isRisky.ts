/** Returns whether an endpoint has no free slot as far as this VM knows, so that it may refuse another request. */
export function isRisky({ running, slots }: { readonly running: number; readonly slots: number; }): boolean {
    return running >= slots;
}
