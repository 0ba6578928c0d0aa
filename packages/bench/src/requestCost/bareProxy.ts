/** A bare proxy of `node:http`, the measure for the router's CPU time: `bareProxy HOST PLAIN-ENDPOINT STREAM-ENDPOINT`. */
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";

import { costShape } from "./costShape.js";

const [host = "127.0.0.1", plain = "", stream = ""] = process.argv.slice(2);
const BAD_GATEWAY = 502;
const agent = new Agent({ keepAlive: true });

const server = createServer((req, res) => {
    const address = req.url === costShape.streamPath ? stream : plain;
    const [endpointHost, port] = address.split(":");
    const { method, url: path, headers } = req;
    const forwarded = request({ agent, host: endpointHost, port, method, path, headers }, answer => {
        res.writeHead(answer.statusCode ?? BAD_GATEWAY, answer.headers);
        answer.pipe(res);
    });
    forwarded.on("error", () => res.destroy());
    req.pipe(forwarded);
});
server.listen(0, host, () => console.log(`${host}:${(server.address() as AddressInfo).port}`));
