/** Returns a header's value, or its first value if the header occurs more than once. */
export function firstValue(value: string | readonly string[] | undefined): string | undefined {
    return typeof value === "string" ? value : value?.[0];
}
