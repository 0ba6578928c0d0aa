import { connect, createServer } from "node:net";

const TICK_MS = 50;

/**
 * Starts a link to a machine that carries so many bytes a second towards it, and answers at once. Its window is small: while
 * the machine does not read, it carries `windowBytes` more, and then holds its sender up.
 */
export const startSlowLink = async ({ to, bytesPerSecond, windowBytes, onEnd }) => {
    const state = { isReading: true, window: windowBytes };
    const open = new Set();
    const server = createServer({ allowHalfOpen: true }, near => {
        const far = connect({ ...to, allowHalfOpen: true });
        const queue = { parts: [], isEnded: false };
        near.on("data", bytes => queue.parts.push(bytes));
        near.on("end", () => {
            queue.isEnded = true;
        });
        const paid = { at: Date.now(), bytes: 0 };
        const timer = setInterval(() => {
            const now = Date.now();
            // What the time allows, and no more than that of some ticks, as a link does not make up for a pause.
            paid.bytes = Math.min(paid.bytes + bytesPerSecond * (now - paid.at) / 1000, bytesPerSecond);
            paid.at = now;
            let room = Math.floor(state.isReading ? paid.bytes : Math.min(paid.bytes, state.window));
            paid.bytes = state.isReading ? paid.bytes - room : 0;
            state.window -= state.isReading ? 0 : room;
            while (room > 0 && queue.parts.length > 0) {
                const [part] = queue.parts;
                const sent = part.subarray(0, room);
                room -= sent.length;
                queue.parts.splice(0, 1, ...(sent.length < part.length ? [part.subarray(sent.length)] : []));
                far.write(sent);
            }
            if (queue.isEnded && queue.parts.length === 0 && !far.writableEnded) {
                far.end();
            }
        }, TICK_MS);
        const close = () => {
            clearInterval(timer);
            near.destroy();
            far.destroy();
        };
        far.on("data", bytes => near.write(bytes)).on("end", () => near.end()).on("error", close).on("close", close);
        near.on("error", () => undefined);
        open.add(near).add(far);
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    onEnd(() => {
        server.close();
        open.forEach(socket => socket.destroy());
    });
    return {
        host: "127.0.0.1",
        port: server.address().port,
        /** Tells whether the machine reads what the link carries. */
        setReading: isReading => {
            state.isReading = isReading;
            state.window = windowBytes;
        },
    };
};
