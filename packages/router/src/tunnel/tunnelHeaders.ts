/** Headers of a request for a tunnel, and of its answer. `encodeNamedPeers` gives the values of the last two. */
const tunnelHeaders = {
    /** Failure domain of the VM that asks. */
    failureDomain: "azureshunt-failure-domain",
    /** In an answer to a VM of another failure domain: more VMs of the answering one's. */
    peers: "azureshunt-peers",
    /** In the answer of a VM that is cut off: VMs that open connections for it. */
    helpers: "azureshunt-helpers",
} as const;

export { tunnelHeaders };
