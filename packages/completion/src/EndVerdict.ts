/**
 * What an answer's end says of it.
 *
 * - `whole`: its framing shows that nothing is missing.
 * - `cut-off`: something is missing.
 * - `unconfirmed`: its connection was closed. Its endpoint does so at the answer's end, and an operating system for each
 *   process that ends.
 */
export type EndVerdict = "whole" | "cut-off" | "unconfirmed";
