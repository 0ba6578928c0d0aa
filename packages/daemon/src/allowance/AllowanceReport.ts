import type { OrganisationId, Tokens } from "@azureshunt/core";

/** What this VM knows of an organisation's allowance, for the administration API. */
export type AllowanceReport = {
    readonly organisation: OrganisationId;
    /** Tokens per second, and tokens at once, over all VMs. */
    readonly rate: Tokens;
    readonly burst: Tokens;
    /** Tokens that this VM may spend without asking a home. */
    readonly here: Tokens;
    /** Tokens charged and requests refused on this VM since the organisation came into use. */
    readonly spent: Tokens;
    readonly refused: number;
    /** Requests that wait for tokens on this VM. */
    readonly waiting: number;
    /** The failure domain and the VM of each home, separated by a space. */
    readonly homes: readonly string[];
};
