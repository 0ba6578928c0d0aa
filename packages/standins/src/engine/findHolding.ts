import type { Holding } from "./Holding.js";

/** Weights that a call requests. */
type WantedWeights = {
    readonly model: string;
    readonly adapter: string | undefined;
    /** `undefined` accepts any version that is held. */
    readonly version: string | undefined;
};

/** Result of a lookup. The two failures are refused with different statuses. */
type HoldingLookup =
    | { readonly kind: "held"; readonly holding: Holding; }
    | { readonly kind: "unknown-model" | "missing-weights"; };

/** Finds the weights that a call requests. */
export function findHolding(holds: readonly Holding[], wanted: WantedWeights): HoldingLookup {
    const ofModel = holds.filter(({ model }) => model === wanted.model);
    const holding = ofModel.find(({ adapter, version }) =>
        (adapter ?? "") === (wanted.adapter ?? "") && (wanted.version ?? version) === version
    );
    if (holding !== undefined) {
        return { kind: "held", holding };
    }
    return { kind: ofModel.length === 0 ? "unknown-model" : "missing-weights" };
}
