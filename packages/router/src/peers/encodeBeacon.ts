import type { Beacon } from "./Beacon.js";
import { createBeaconEncoder } from "./createBeaconEncoder.js";

/** Encodes one beacon as a datagram. */
export function encodeBeacon(beacon: Beacon): Buffer {
    return createBeaconEncoder(beacon)(beacon);
}
