import type { ConfigurationState } from "./ConfigurationState.js";

/**
 * Takes over another reader's state where it is further on than this one's.
 *
 * Guards against a configuration that reverts: a snapshot that was written long ago, or a peer that lags after a
 * restart, would bring a withdrawn key back into force. A state is therefore only taken when it folded more records
 * and its revision is not lower; as every reader folds the same records, such a state continues this one's. A state of
 * the same revision with another digest comes from a reader that went astray and is never taken.
 *
 * @returns the other state, or `state` itself when the other is not further on
 */
export function adoptState(state: ConfigurationState, other: ConfigurationState): ConfigurationState {
    const { revision } = state.configuration;
    const isFurther = other.offset > state.offset && other.configuration.revision >= revision;
    const isAstray = other.configuration.revision === revision && other.digest !== state.digest;
    return isFurther && !isAstray ? other : state;
}
