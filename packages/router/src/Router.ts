import type { Millis } from "@azureshunt/core";

import type { RouterSettings } from "./RouterSettings.js";

/** A running router. */
export type Router = {
    /** Applies the time limits and other bounds of new settings. Names and addresses change only after a restart. */
    readonly reload: (settings: RouterSettings) => void;
    /** Refuses new requests from now on, as not run. */
    readonly refuse: () => void;
    /** Cuts off the answers that are not whole. */
    readonly cut: () => void;
    /** Time within which `shutDown` ends, by the settings in force. */
    readonly stopMs: () => Millis;
    /** Stops accepting connections, lets running requests finish, and stops all components. */
    readonly shutDown: () => Promise<void>;
};
