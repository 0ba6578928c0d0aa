/** Listeners by key. */
type Listeners<K> = {
    /** @returns a function that removes the listener */
    readonly add: (key: K, listener: () => void) => () => void;
    /** Calls all listeners of a key. */
    readonly notify: (key: K) => void;
};

/** Creates an empty table of listeners. */
export function createListeners<K>(): Listeners<K> {
    const all = new Map<K, ReadonlySet<() => void>>();
    const add: Listeners<K>["add"] = (key, listener) => {
        all.set(key, new Set([...all.get(key) ?? [], listener]));
        return () => {
            const remaining = [...all.get(key) ?? []].filter(each => each !== listener);
            if (remaining.length === 0) {
                all.delete(key);
                return;
            }
            all.set(key, new Set(remaining));
        };
    };
    return { add, notify: key => all.get(key)?.forEach(listener => listener()) };
}
