import type {
    EndpointName,
    FailureDomain,
    Incarnation,
    Millis,
    ModelName,
    OrganisationId,
    Tokens,
    VmId,
} from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

import type { ChainPart } from "../placement/ChainPart.js";
import type { EndpointShare } from "./EndpointShare.js";

/** What a VM tells each of the others several times a second, in one datagram. */
export type Beacon = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly failureDomain: FailureDomain;
    /** How long ago its process started; ∞ where it does not say. */
    readonly upMs: Millis;
    /** Grows with each beacon of a process. */
    readonly sequence: number;
    /** When it was sent, on the sender's monotonic clock; the receiver sends it back. */
    readonly sentAt: Millis;
    /**
     * The receiver's own newest time stamp that the sender has got, and how long ago it came. So the receiver knows how
     * old what it reads is at most, however long the datagram was held up.
     */
    readonly echo: { readonly incarnation: Incarnation; readonly sentAt: Millis; readonly heldMs: Millis; } | undefined;
    /** Other members that the sender hears: name and `host:port`. */
    readonly members: readonly (readonly [VmId, string])[];
    readonly revision: number;
    /** How long ago that revision was known to be the newest one; undefined where it is not known. */
    readonly confirmedMs: Millis | undefined;
    readonly weights: readonly (readonly [ModelName, number])[];
    /** By organisation: tokens that the sender has spent since its start, and that are asked of it in a second. */
    readonly spent: readonly (readonly [OrganisationId, Tokens, Tokens])[];
    readonly load: readonly (readonly [EndpointName, EndpointShare])[];
    /** Prompt tokens that the sender's callers send in a millisecond. */
    readonly demand: Tokens;
    /** Engines that carry out this VM's orders: name, version, how long ago it was given. */
    readonly ordered: readonly (readonly [EndpointName, number, Millis])[];
    /** Versions that engines are known to hold. */
    readonly held: readonly (readonly [EndpointName, number])[];
    /** Parts of prompts that engines have read, or the cache store has taken, since the sender's last beacon. */
    readonly cached: readonly (readonly [string, readonly ChainPart[]])[];
    /** The newest record of the order lease, and since when it is known. */
    readonly lease: { readonly offset: number; readonly holder: VmId; readonly ageMs: Millis; } | undefined;
    /** Requests that ran on an endpoint when it died, and which run of which endpoint that was; told for some seconds. */
    readonly deaths: readonly (readonly [RequestFingerprint, string])[];
    /** Requests that are not run any more, as they crash endpoints, and for how much longer. */
    readonly stopped: readonly (readonly [RequestFingerprint, Millis])[];
    /** The registry's entries that the sender knows, named by a digest, and how old that can be at most. */
    readonly registry: { readonly digest: string; readonly ageMs: Millis; } | undefined;
    /** Whether the sender reads the store itself. */
    readonly hasStore: boolean;
    /** Whether the sender is about to stop. */
    readonly isLeaving: boolean;
};
