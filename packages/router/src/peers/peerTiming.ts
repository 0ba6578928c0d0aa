/**
 * Times and limits of the beacons between VMs; times are in milliseconds.
 *
 * By the time since it was last seen, a peer is alive (up to `aliveMs`), silent (after `missedBeacons` intervals, which
 * may be earlier than `aliveMs`), gone (after `goneMs`), and forgotten (after `forgetMs`).
 */
const peerTiming = {
    /** Minimum time between two beacons to one VM, used with few VMs. */
    beaconMs: 200,
    /**
     * Beacon interval per known peer, bounded by `beaconMs` and `maxBeaconMs`, so that with few VMs the known load of
     * others is only a few placements of requests old.
     */
    perMemberMs: 25,
    maxBeaconMs: 500,
    /**
     * Maximum time between two sends of a VM's load. With many VMs the load would be too old for placement if sent only
     * in rounds.
     */
    loadIntervalMs: 200,
    /** Minimum time between two sends of urgent state, with few VMs. */
    urgentGapMs: 40,
    /** Relays per failure domain. A domain with one more VM than that still serves after two deaths. */
    relays: 2,
    /**
     * Up to this number of VMs, beacons are at most 225 ms apart (200 ms with eight known peers), so that the others'
     * load is only a few placements of requests old. Up to it, placement compares all candidates.
     */
    fewVms: 9,
    /**
     * A beacon still counts if it was overtaken by one sent up to this much later: rounds and urgent sends may cross.
     */
    reorderMs: 100,
    /** Missed beacons after which a VM counts as silent. More than one, because a single datagram may be lost. */
    missedBeacons: 4,
    /**
     * Time after which a silent VM counts as gone. A VM that is cut off from the store and all others refuses
     * requests with API keys once a withdrawal that it cannot know of must have taken effect (`keyWithdrawalMs` of the
     * settings), so it spends nothing any more by then.
     */
    goneMs: 8_000,
    /** A VM seen within this time is alive: it may be a relay, and may read the store for others. */
    aliveMs: 2_000,
    /** Time after the start for which listed VMs count as present although nothing was received from them yet. */
    settleMs: 2_000,
    /** Time between two beacons to VMs that are not alive, as they may come back. */
    silentBeaconMs: 1_000,
    /**
     * VMs per failure domain that are not alive and get a beacon at a time: those that would be relays, and one more in
     * rotation.
     */
    silentAtOnce: 3,
    /** Time after which a silent VM is forgotten. A failure domain may be cut off for minutes. */
    forgetMs: 600_000,
} as const;

export { peerTiming };
