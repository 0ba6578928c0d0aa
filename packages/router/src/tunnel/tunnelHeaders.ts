/** Headers of a request for a tunnel, and of its answer. `encodeNamedPeers` gives the values of `peers` and `helpers`. */
const tunnelHeaders = {
    /** Failure domain of the VM that asks. */
    failureDomain: "azureshunt-failure-domain",
    /** The tunnel's id, chosen by the VM that asks. */
    id: "azureshunt-tunnel-id",
    /** `host:port` of the listener for peers of the VM that asks, which is told when the carrier begins to stop. */
    address: "azureshunt-peer-address",
    /** In an answer to a VM of another failure domain: more VMs of the answering one's. */
    peers: "azureshunt-peers",
    /** In the answer of a VM that is cut off: VMs that open connections for it. */
    helpers: "azureshunt-helpers",
} as const;

export { tunnelHeaders };
