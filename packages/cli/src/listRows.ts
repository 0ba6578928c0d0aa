/** Gives a list of a daemon's answer as records. */
export function listRows(
    body: Readonly<Record<string, unknown>>,
    field: string,
): readonly Readonly<Record<string, unknown>>[] {
    const list = body[field];
    return Array.isArray(list) ? list as Readonly<Record<string, unknown>>[] : [];
}
