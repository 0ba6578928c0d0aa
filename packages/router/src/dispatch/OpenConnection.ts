import type { Socket, TcpNetConnectOpts } from "node:net";

/** Starts to open a connection, as `connect` of `node:net` does. */
export type OpenConnection = (options: TcpNetConnectOpts) => Socket;
