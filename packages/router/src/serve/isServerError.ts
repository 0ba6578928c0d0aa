const FIRST_SERVER_ERROR = 500;

/** Returns whether a status reports a failure of the server. */
export function isServerError(status: number): boolean {
    return status >= FIRST_SERVER_ERROR;
}
