/** A request with as many header fields is refused. Node keeps the fields of heads that are not complete yet up to it. */
const maxHeaderFields = 128;

export { maxHeaderFields };
