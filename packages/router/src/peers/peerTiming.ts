/** Times of what VMs tell each other, in milliseconds. */
const peerTiming = {
    /** Between two beacons to one VM when there are few. */
    beaconMs: 200,
    /** Added to it for each VM, so that a VM sends and reads at most forty beacons a second each way. */
    perMemberMs: 25,
    longestBeaconMs: 1_000,
    /** Up to so many VMs beacons are 225 ms apart at most, so that each knows the others' load as of a few choices ago. */
    fewVms: 9,
    /** Beacons without which a VM counts as out of hearing; one may be lost. */
    unheardBeacons: 4,
    /**
     * After which a VM out of hearing counts as gone. A VM that is cut off from the store and all others serves no
     * keys after the time in which a withdrawal has to hold, so it spends nothing any more by then.
     */
    goneMs: 8_000,
    /** After the start, listed VMs count as there though they have not been heard. */
    settleMs: 2_000,
    /** Silent VMs get a beacon more seldom, in case that they come back. */
    silentBeaconMs: 1_000,
    /** After which even that ends. */
    forgetMs: 60_000,
} as const;

export { peerTiming };
