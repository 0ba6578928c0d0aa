/** Returns a list field of a daemon's answer as records; empty if the field is not a list. */
export function listRows(
    body: Readonly<Record<string, unknown>>,
    field: string,
): readonly Readonly<Record<string, unknown>>[] {
    const list = body[field];
    return Array.isArray(list) ? list as Readonly<Record<string, unknown>>[] : [];
}
