const BEARER = /^Bearer +([\x21-\x7e]+)$/i;

/** Takes the key out of an `Authorization` header; undefined where there is none, or another scheme than bearer. */
export function bearerKey(authorization: string | undefined): string | undefined {
    return BEARER.exec(authorization ?? "")?.[1];
}
