import type { Incarnation } from "@azureshunt/core";
import type { ActorSystemRef } from "nact";
import type { Logger } from "pino";

import type { Settings } from "../Settings.js";
import type { Clock } from "./Clock.js";
import type { LogPort } from "./LogPort.js";
import type { MembershipPort } from "./MembershipPort.js";
import type { Metrics } from "./Metrics.js";
import type { PeerPort } from "./PeerPort.js";
import type { ReleasePort } from "./ReleasePort.js";

/** What every part of the daemon is started with. */
export type DaemonContext = {
    readonly settings: Settings;
    /** This run of the daemon. */
    readonly incarnation: Incarnation;
    readonly system: ActorSystemRef;
    readonly clock: Clock;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Logger of a part; its name prefixes each line. */
    readonly logger: (part: string) => Logger;
    readonly metrics: Metrics;
    readonly release: ReleasePort;
    readonly membership: MembershipPort;
    readonly peers: PeerPort;
    readonly log: LogPort;
};
