import type { DispatchId, EndpointName, Millis, PieceHash } from "@azureshunt/core";

/** One computation of a piece that is under way. */
type Computation = {
    readonly endpoint: EndpointName;
    readonly dispatchId: DispatchId | undefined;
    readonly expiresAt: Millis;
};

/**
 * Pieces that endpoints are computing now. An engine does not share a computation with a request that arrives meanwhile:
 * that one would compute the same pieces again. It is better held here until the pieces are there.
 */
export class ComputingPieces {
    readonly #byPiece = new Map<PieceHash, Computation>();
    readonly #byDispatch = new Map<DispatchId, readonly PieceHash[]>();

    /** Notes that a dispatch makes an endpoint compute pieces. */
    begin(dispatchId: DispatchId, endpoint: EndpointName, pieces: readonly PieceHash[], expiresAt: Millis): void {
        if (pieces.length > 0) {
            pieces.forEach(piece => this.#byPiece.set(piece, { endpoint, dispatchId, expiresAt }));
            this.#byDispatch.set(dispatchId, pieces);
        }
    }

    /** Notes that another VM makes an endpoint compute pieces, which it is to have done at `expiresAt`. */
    heard(endpoint: EndpointName, pieces: readonly PieceHash[], expiresAt: Millis): void {
        pieces
            .filter(piece => !this.#byPiece.has(piece))
            .forEach(piece => this.#byPiece.set(piece, { endpoint, dispatchId: undefined, expiresAt }));
    }

    /** Ends a dispatch's computation. */
    end(dispatchId: DispatchId): void {
        (this.#byDispatch.get(dispatchId) ?? [])
            .filter(piece => this.#byPiece.get(piece)?.dispatchId === dispatchId)
            .forEach(piece => this.#byPiece.delete(piece));
        this.#byDispatch.delete(dispatchId);
    }

    /** The pieces of a prompt that an endpoint is computing. */
    among(pieces: readonly PieceHash[], endpoint: EndpointName, now: Millis): readonly PieceHash[] {
        return pieces.filter(piece => {
            const computation = this.#byPiece.get(piece);
            return computation?.endpoint === endpoint && computation.expiresAt > now;
        });
    }

    /** Forgets computations that should long be done. */
    sweep(now: Millis): void {
        [...this.#byPiece]
            .filter(([, computation]) => computation.expiresAt <= now)
            .forEach(([piece]) => this.#byPiece.delete(piece));
    }
}
