/** Version of the datagrams' format; VMs skip formats that they do not know. */
const BEACON_FORMAT = 1;

export { BEACON_FORMAT };
