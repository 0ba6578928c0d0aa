const FIRST_FINAL = 200;
const FIRST_INVALID = 600;

/**
 * Returns whether a status can be that of an answer: parsers take any of three digits. Those from 100 on precede an answer,
 * and other ones come from a sender in trouble.
 *
 * @see https://www.rfc-editor.org/rfc/rfc9110#name-status-codes
 */
export function isFinalStatus(status: number | undefined): status is number {
    return status !== undefined && status >= FIRST_FINAL && status < FIRST_INVALID;
}
