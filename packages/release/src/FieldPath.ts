/** Path of a field in a document: field names and list indexes. */
export type FieldPath = readonly (string | number)[];
