import type { Configuration } from "./Configuration.js";

/** The configuration before the first release note. */
const emptyConfiguration: Configuration = {
    revision: 0,
    organisations: new Map(),
    keys: new Map(),
    models: new Map(),
    services: new Map(),
    endpoints: new Map(),
    withdrawnKeys: new Map(),
};

export { emptyConfiguration };
