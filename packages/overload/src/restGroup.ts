/** Organisations beyond the number that is distinguished. A symbol, as any string may be the id of an organisation. */
const restGroup: unique symbol = Symbol("rest");

export { restGroup };
