import type { ConfigurationState } from "./ConfigurationState.js";

/**
 * Adopts another reader's state if it is ahead of this one's.
 *
 * An old snapshot, or a peer that is outdated after a restart, would revert the configuration and make a withdrawn key
 * valid again. To prevent this, a state is adopted only if it has folded more records and its revision is not lower; as
 * all readers fold the same records, such a state continues this one. A state of the same revision with another digest
 * comes from a reader whose configuration has diverged and is never adopted.
 *
 * @returns the other state, or `state` itself if the other is not adopted
 */
export function adoptState(state: ConfigurationState, other: ConfigurationState): ConfigurationState {
    const { revision } = state.configuration;
    const isAhead = other.offset > state.offset && other.configuration.revision >= revision;
    const hasDiverged = other.configuration.revision === revision && other.digest !== state.digest;
    return isAhead && !hasDiverged ? other : state;
}
