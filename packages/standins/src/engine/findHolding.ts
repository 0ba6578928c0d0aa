import type { Holding } from "./Holding.js";

/** Weights that a call asks for. */
type WantedWeights = {
    readonly model: string;
    readonly adapter: string | undefined;
    /** Undefined takes any version that is held. */
    readonly version: string | undefined;
};

/** What was found; `unknown` model and missing `version` are refused with different statuses. */
type Found =
    | { readonly kind: "held"; readonly holding: Holding; }
    | { readonly kind: "unknown" | "version"; };

/** Looks for the weights that a call asks for. */
export function findHolding(holds: readonly Holding[], wanted: WantedWeights): Found {
    const ofModel = holds.filter(({ model }) => model === wanted.model);
    const holding = ofModel.find(({ adapter, version }) =>
        (adapter ?? "") === (wanted.adapter ?? "") && (wanted.version ?? version) === version
    );
    if (holding !== undefined) {
        return { kind: "held", holding };
    }
    return { kind: ofModel.length === 0 ? "unknown" : "version" };
}
