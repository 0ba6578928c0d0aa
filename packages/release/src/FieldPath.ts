/** Where a field stands in a document: names of fields and indexes of list entries. */
export type FieldPath = readonly (string | number)[];
