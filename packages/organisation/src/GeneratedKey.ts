/** A key just made. Only its digest is kept; the key is shown once. */
export type GeneratedKey = {
    /** The key itself, for its holder: never logged and never stored. */
    readonly key: string;
    /** SHA-256 of the key in hexadecimal. */
    readonly digest: string;
};
