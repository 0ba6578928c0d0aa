import type { Incarnation } from "@azureshunt/core";
import type { createPauseWatch } from "@azureshunt/lifecycle";
import type { ActorSystemRef } from "nact";
import type { Logger } from "pino";

import type { Settings } from "../Settings.js";
import type { Clock } from "./Clock.js";
import type { LogPort } from "./LogPort.js";
import type { MembershipPort } from "./MembershipPort.js";
import type { Metrics } from "./Metrics.js";
import type { PeerPort } from "./PeerPort.js";
import type { ReleasePort } from "./ReleasePort.js";

/** Dependencies that all parts of the daemon share. */
export type DaemonContext = {
    readonly settings: Settings;
    /** Incarnation of this daemon process. */
    readonly incarnation: Incarnation;
    readonly system: ActorSystemRef;
    readonly clock: Clock;
    /** Returns a random number, uniform in [0, 1). */
    readonly random: () => number;
    /** Returns the logger of a part, whose name prefixes each line. */
    readonly logger: (part: string) => Logger;
    readonly metrics: Metrics;
    /** Tells when this process did not run for some time. */
    readonly pauses: Pick<ReturnType<typeof createPauseWatch>, "check" | "register">;
    readonly release: ReleasePort;
    readonly membership: MembershipPort;
    readonly peers: PeerPort;
    readonly log: LogPort;
};
