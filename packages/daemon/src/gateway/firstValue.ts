/** Gives a header's value; the first one where the header came more than once. */
export function firstValue(value: string | readonly string[] | undefined): string | undefined {
    return typeof value === "string" ? value : value?.[0];
}
