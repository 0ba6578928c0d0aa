import type { ServiceName } from "@azureshunt/core";

import type { PeerHistory } from "./PeerHistory.js";

type ServiceHistory = NonNullable<ReturnType<PeerHistory["services"]["get"]>>;

const initial: ServiceHistory = {
    avoidedUntil: new Map(),
    outdoneAt: new Map(),
    helpers: new Map(),
    failedInRow: 0,
};

/** Returns what is known of peers as openers of connections to the endpoints of a service. */
export function serviceHistoryOf({ services }: PeerHistory, service: ServiceName): ServiceHistory {
    return services.get(service) ?? initial;
}
