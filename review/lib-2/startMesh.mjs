// Links between machines that can be cut: proxies on loopback addresses, one for each machine as each other one sees it.
import { createSocket } from "node:dgram";
import { connect, createServer } from "node:net";

import { freeHost } from "./startRouters.mjs";

const PEER_PORT = 7600;

const forwardTcp = async ({ host, port, to, isCut, onEnd }) => {
    const open = new Set();
    const server = createServer(near => {
        open.add(near);
        near.on("error", () => undefined).on("close", () => open.delete(near));
        if (isCut()) {
            return;
        }
        const far = connect(to);
        open.add(far);
        far.on("error", () => near.destroy()).on("close", () => open.delete(far));
        // What is sent over a cut link is lost, and so is the end of a connection.
        [[near, far], [far, near]].forEach(([from, onward]) => {
            from.on("data", bytes => isCut() || onward.write(bytes));
            from.on("end", () => isCut() || onward.end());
            from.on("close", () => isCut() || onward.destroy());
        });
    });
    await new Promise((resolve, reject) => server.once("error", reject).listen(port, host, resolve));
    onEnd(() => {
        server.close();
        open.forEach(socket => socket.destroy());
    });
    return server.address().port;
};

/**
 * Starts the links between machines, and between each machine and the store.
 *
 * @param hosts real hosts of the machines
 * @returns `seedsOf(i)`: control addresses by which a machine reaches the others; `storeOf(i)`: by which it reaches the store;
 * `cut(i)`: partitions a machine from all other machines and the store, without a sign
 */
export const startMesh = async ({ hosts, store, onEnd }) => {
    const cut = new Set();
    const seen = new Map();
    const key = (x, y) => `${x} sees ${y}`;
    for (const x of hosts.keys()) {
        for (const y of hosts.keys()) {
            if (x === y) {
                continue;
            }
            const host = await freeHost();
            const socket = createSocket("udp4");
            await new Promise((resolve, reject) => socket.once("error", reject).bind(PEER_PORT, host, resolve));
            onEnd(() => socket.close());
            await forwardTcp({
                host, port: PEER_PORT, to: { host: hosts[y], port: PEER_PORT }, isCut: () => cut.has(x) || cut.has(y), onEnd,
            });
            seen.set(key(x, y), { host, socket });
        }
    }
    seen.forEach(({ socket }, name) => {
        const y = Number(name.split(" sees ")[1]);
        // A machine may have learned this address from another one, so the sender decides which link it is.
        socket.on("message", (datagram, { address }) => {
            const sender = hosts.indexOf(address);
            if (sender >= 0 && sender !== y && !cut.has(sender) && !cut.has(y)) {
                seen.get(key(y, sender)).socket.send(datagram, PEER_PORT, hosts[y], () => undefined);
            }
        });
    });
    const stores = [];
    for (const x of hosts.keys()) {
        const [host, port] = store.split(":");
        const own = await forwardTcp({ host: "127.0.0.1", port: 0, to: { host, port: Number(port) }, isCut: () => cut.has(x), onEnd });
        stores.push(`127.0.0.1:${own}`);
    }
    return {
        seedsOf: x => [...hosts.keys()].filter(y => y !== x).map(y => `${seen.get(key(x, y)).host}:8608`),
        storeOf: x => stores[x],
        cut: x => void cut.add(x),
        heal: x => void cut.delete(x),
    };
};
