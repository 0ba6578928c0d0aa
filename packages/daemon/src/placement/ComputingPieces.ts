import type { DispatchId, EndpointName, Millis, PieceHash } from "@azureshunt/core";

/** The running computation of a piece. */
type Computation = {
    readonly endpoint: EndpointName;
    /** `undefined` if another VM dispatched the request. */
    readonly dispatchId: DispatchId | undefined;
    readonly expiresAt: Millis;
};

/**
 * Pieces that endpoints are computing now. An engine does not share a running computation with a request that arrives
 * meanwhile, but computes the same pieces again, so such a request waits in this daemon until the pieces are cached.
 */
export class ComputingPieces {
    readonly #byPiece = new Map<PieceHash, Computation>();
    readonly #byDispatch = new Map<DispatchId, readonly PieceHash[]>();

    /** Records that a dispatch of this VM makes an endpoint compute pieces. */
    begin(dispatchId: DispatchId, endpoint: EndpointName, pieces: readonly PieceHash[], expiresAt: Millis): void {
        if (pieces.length > 0) {
            pieces.forEach(piece => this.#byPiece.set(piece, { endpoint, dispatchId, expiresAt }));
            this.#byDispatch.set(dispatchId, pieces);
        }
    }

    /** Records that a dispatch of another VM makes an endpoint compute pieces, expected to be done at `expiresAt`. */
    beginElsewhere(endpoint: EndpointName, pieces: readonly PieceHash[], expiresAt: Millis): void {
        pieces
            .filter(piece => !this.#byPiece.has(piece))
            .forEach(piece => this.#byPiece.set(piece, { endpoint, dispatchId: undefined, expiresAt }));
    }

    /** Removes the computations of a dispatch. */
    end(dispatchId: DispatchId): void {
        (this.#byDispatch.get(dispatchId) ?? [])
            .filter(piece => this.#byPiece.get(piece)?.dispatchId === dispatchId)
            .forEach(piece => this.#byPiece.delete(piece));
        this.#byDispatch.delete(dispatchId);
    }

    /** Returns those of the pieces that an endpoint is computing. */
    computingAt(pieces: readonly PieceHash[], endpoint: EndpointName, now: Millis): readonly PieceHash[] {
        return pieces.filter(piece => {
            const computation = this.#byPiece.get(piece);
            return computation?.endpoint === endpoint && computation.expiresAt > now;
        });
    }

    /** Removes expired computations. */
    sweep(now: Millis): void {
        [...this.#byPiece]
            .filter(([, computation]) => computation.expiresAt <= now)
            .forEach(([piece]) => this.#byPiece.delete(piece));
    }
}
