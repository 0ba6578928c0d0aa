/** Returns the value at a dotted path; names inside a section are resolved in the entry first. */
const valueAt = (scopes, path) => {
    for (const scope of scopes) {
        const value = path === "." ? scope : path.split(".").reduce((at, name) => at?.[name], scope);
        if (value !== undefined) {
            return value;
        }
    }
    return undefined;
};

const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const PLACEHOLDER = /\{\{([\w.]+)(\|json)?\}\}/g;

/** Fills in a settings template as DEPLOY.md describes it, as far as `platform/settings.template` makes use of it. */
export const renderTemplate = (template, scopes) =>
    template
        .replace(SECTION, (_, path, inner) => {
            const entries = valueAt(scopes, path) ?? [];
            return entries
                .map((entry, i) => renderTemplate(inner.replaceAll("{{,}}", i < entries.length - 1 ? "," : ""), [entry, ...scopes]))
                .join("");
        })
        .replace(PLACEHOLDER, (_, path, asJson) => {
            const value = valueAt(scopes, path);
            return asJson === undefined ? String(value ?? "") : JSON.stringify(value ?? null);
        });
