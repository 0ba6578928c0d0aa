/** The log stream that carries release notes and snapshots. */
const configurationStream = "configuration";

export { configurationStream };
