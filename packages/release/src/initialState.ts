import type { ConfigurationState } from "./ConfigurationState.js";
import { emptyConfiguration } from "./emptyConfiguration.js";

const NO_NOTES_DIGEST = "0".repeat(64);

/** The state before the first record of the log. */
const initialState: ConfigurationState = {
    configuration: emptyConfiguration,
    offset: 0,
    digest: NO_NOTES_DIGEST,
    recent: new Map(),
    releases: [],
};

export { initialState };
