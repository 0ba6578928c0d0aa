/** Listeners by what they listen to. */
type Listeners<K> = {
    /** @returns a function that takes the listener out */
    readonly add: (key: K, listener: () => void) => () => void;
    /** Calls all listeners of a key. */
    readonly tell: (key: K) => void;
};

/** Makes an empty table of listeners. */
export function createListeners<K>(): Listeners<K> {
    const all = new Map<K, ReadonlySet<() => void>>();
    const add: Listeners<K>["add"] = (key, listener) => {
        all.set(key, new Set([...all.get(key) ?? [], listener]));
        return () => {
            const left = [...all.get(key) ?? []].filter(each => each !== listener);
            if (left.length === 0) {
                all.delete(key);
                return;
            }
            all.set(key, new Set(left));
        };
    };
    return { add, tell: key => all.get(key)?.forEach(listener => listener()) };
}
