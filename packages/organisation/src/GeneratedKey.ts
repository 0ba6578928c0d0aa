/** A newly generated key. Only its digest is stored; the key itself is shown once. */
export type GeneratedKey = {
    /** The key, for its holder; never logged or stored. */
    readonly key: string;
    /** SHA-256 of the key in hexadecimal. */
    readonly digest: string;
};
