/** Version of the datagram format. VMs ignore datagrams of a format that they do not know. */
const BEACON_FORMAT = 1;

export { BEACON_FORMAT };
