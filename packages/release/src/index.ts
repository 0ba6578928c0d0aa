/** Release notes and the configuration that folding them gives. */
export {};
