/** A head's text is held as it came, decoded, and as it is sent on. */
const COPIES = 3;
/** What a field takes beside its text, as entries of lists and of objects, in each of its forms. */
const FIELD_BYTES = 300;

/** Returns about how many bytes of memory a request's head takes, from its size on the wire and its number of fields. */
export function headCost(bytes: number, fields: number): number {
    return COPIES * bytes + FIELD_BYTES * fields;
}
