/** Returns where Node's inspector listens; `undefined` if it does not. Its module is loaded at the first call only. */
export function inspectorUrl(): string | undefined {
    return process.getBuiltinModule("node:inspector").url();
}
