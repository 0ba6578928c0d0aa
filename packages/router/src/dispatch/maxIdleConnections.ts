/** Maximum number of idle connections to one endpoint. More would not be reused soon enough. */
const MAX_IDLE = 24;
/**
 * Fraction of an endpoint's connections that all VMs together keep idle. The rest is for requests, which are uneven.
 */
const IDLE_FRACTION = 0.5;

/**
 * Returns how many idle connections a VM keeps to one endpoint.
 *
 * An endpoint accepts a limited number of connections from all VMs together and resets the ones beyond it, with the
 * requests on them. Dozens of VMs that each kept what they opened in a burst would exceed that number.
 *
 * @param maxConnections connections that the endpoint accepts from all VMs; `undefined` if unknown
 * @param vms number of VMs
 */
export function maxIdleConnections(maxConnections: number | undefined, vms: number): number {
    return Math.max(1, Math.min(MAX_IDLE, Math.floor(IDLE_FRACTION * (maxConnections ?? Infinity) / vms)));
}
