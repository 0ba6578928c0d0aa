/** A registry that nothing refers to is collected itself, and calls back no more. */
const registries = new Set<FinalizationRegistry<undefined>>();

/**
 * Calls back soon after each full collection. V8 clears what a registry has registered in full collections alone;
 * Node's observer of collections costs time in each of the many young ones too.
 */
export function observeCollections(onCollected: () => void): void {
    const registry = new FinalizationRegistry<undefined>(() => {
        registry.register({}, undefined);
        onCollected();
    });
    registry.register({}, undefined);
    registries.add(registry);
}
