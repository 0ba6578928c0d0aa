/** Connections without a request that are kept to one endpoint at most; more are not used again soon enough. */
const MOST_KEPT = 24;
/** Part of an endpoint's connections that VMs keep together; the rest is for requests, which come unevenly. */
const KEPT_PART = 0.5;

/**
 * Says how many connections without a request a VM keeps to one endpoint.
 *
 * Load: dozens of VMs each keep what they opened in a burst, endpoints take a limited number of connections from all of
 * them together, and reset the ones beyond it, with the requests on them.
 *
 * @param maxConnections that the endpoint takes from all VMs; undefined where that is not known
 * @param vms how many VMs there are
 */
export function keptConnections(maxConnections: number | undefined, vms: number): number {
    return Math.max(1, Math.min(MOST_KEPT, Math.floor(KEPT_PART * (maxConnections ?? Infinity) / vms)));
}
