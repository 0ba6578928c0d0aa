/** A row of a list as JSON, and its sizes as JSON if they are a list of their own. */
type Row<List extends string> = { readonly list: List; readonly json: string; readonly sizes?: string; };

/**
 * Distributes rows to pages of limited size and keeps their order.
 *
 * @param limit maximum characters per page, which are bytes if the text is ASCII; a larger row gets a page of its own
 * @returns at least one page, each with its rows by the name of their list
 */
export function packRows<List extends string>(
    rows: readonly Row<List>[],
    limit: number,
): readonly ReadonlyMap<List, readonly Row<List>[]>[] {
    const pages: Map<List, Row<List>[]>[] = [new Map()];
    const page = { size: 0 };
    rows.forEach(row => {
        // 2 more for the commas after the row, and after its sizes.
        const size = row.json.length + (row.sizes?.length ?? 0) + 2;
        if (page.size > 0 && page.size + size > limit) {
            pages.push(new Map());
            page.size = 0;
        }
        page.size += size;
        const current = pages.at(-1);
        const known = current?.get(row.list) ?? [];
        current?.set(row.list, known);
        known.push(row);
    });
    return pages;
}
