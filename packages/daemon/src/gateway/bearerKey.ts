const BEARER = /^Bearer +([\x21-\x7e]+)$/i;

/** Returns the key of an `Authorization` header; undefined if the header is missing or is not a valid bearer token. */
export function bearerKey(authorization: string | undefined): string | undefined {
    return BEARER.exec(authorization ?? "")?.[1];
}
