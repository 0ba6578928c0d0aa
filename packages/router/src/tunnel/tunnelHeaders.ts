/** Headers of a request for a tunnel, and of its answer. */
const tunnelHeaders = {
    /** Failure domain of the VM that asks. */
    failureDomain: "azureshunt-failure-domain",
    /** In an answer to a VM of another failure domain: more VMs of the answering one's; see `encodeNamedPeers`. */
    peers: "azureshunt-peers",
} as const;

export { tunnelHeaders };
