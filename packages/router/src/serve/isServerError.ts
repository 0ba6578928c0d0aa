const FIRST_SERVER_ERROR = 500;

/** Whether a status says that the server failed. */
export function isServerError(status: number): boolean {
    return status >= FIRST_SERVER_ERROR;
}
