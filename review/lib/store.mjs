// Stand-in for the platform's metadata store: topics with one partition, records kept by key in `keyed.` topics.
import { createServer } from "node:http";

const frame = content => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
};
const offsetBytes = offset => {
    const bytes = Buffer.alloc(8);
    bytes.writeBigUInt64BE(BigInt(offset));
    return bytes;
};
const readAll = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};
const reply = (res, status, body) => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

/** Starts a store on a free port. */
export async function startStore(host = "127.0.0.1") {
    const topics = new Map();
    const topicOf = name => {
        const topic = topics.get(name) ?? { records: [], newest: new Map(), waiting: new Set() };
        topics.set(name, topic);
        return topic;
    };
    const add = (name, content) => {
        const topic = topicOf(name);
        const offset = topic.records.push(content) - 1;
        if (name.startsWith("keyed.")) {
            const keyEnd = 1 + content[0];
            const key = content.subarray(1, keyEnd).toString("latin1");
            topic.newest.delete(key);
            if (content.length > keyEnd) {
                topic.newest.set(key, { keyBytes: content.subarray(1, keyEnd), value: content.subarray(keyEnd), offset });
            }
        }
        topic.waiting.forEach(wake => wake());
        return offset;
    };
    const append = async (query, req, res) => {
        const body = await readAll(req);
        const name = query.get("Topic");
        const end = topicOf(name).records.length;
        if (query.has("At") && Number(query.get("At")) !== end) {
            reply(res, 412, { End: end });
            return;
        }
        let first;
        for (let at = 0; at + 4 <= body.length;) {
            const next = at + 4 + body.readUInt32BE(at);
            const offset = add(name, body.subarray(at + 4, next));
            first ??= offset;
            at = next;
        }
        reply(res, 200, { Offset: first ?? end, End: topicOf(name).records.length });
    };
    const read = async (query, res) => {
        const topic = topicOf(query.get("Topic"));
        const from = Number(query.get("From"));
        const waitMs = Number(query.get("WaitMs") ?? 0);
        if (topic.records.length <= from && waitMs > 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    topic.waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, waitMs);
                topic.waiting.add(wake);
            });
        }
        // At most `MaxKb` in one answer; the reader goes on from the record after the last one.
        const maxBytes = 1024 * Number(query.get("MaxKb") ?? 1024);
        const records = [];
        for (let bytes = 0, at = from; at < topic.records.length; at += 1) {
            const framed = frame(topic.records[at]);
            bytes += framed.length;
            if (bytes > maxBytes && records.length > 0) {
                break;
            }
            records.push(framed);
        }
        res.writeHead(200);
        res.end(Buffer.concat([offsetBytes(topic.records.length), offsetBytes(0), ...records]));
    };
    const newest = (query, res) => {
        const topic = topicOf(query.get("Topic"));
        const items = [...topic.newest.values()].map(({ keyBytes, value, offset }) => ({
            Key: keyBytes.toString("utf8"),
            Value: value.toString("base64"),
            Offset: offset,
        }));
        reply(res, 200, { items, HasMore: false, End: topic.records.length });
    };
    const answer = (req, res) => {
        const url = new URL(req.url, "http://store");
        // The time that the site file names for an answer.
        setTimeout(() => {
            if (url.pathname === "/log-append") {
                void append(url.searchParams, req, res);
            }
            else if (url.pathname === "/log-newest") {
                newest(url.searchParams, res);
            }
            else if (url.pathname === "/log-read") {
                void read(url.searchParams, res);
            }
            else {
                reply(res, 404, {});
            }
        }, 4);
    };
    const server = createServer(answer);
    await new Promise(resolve => server.listen(0, host, resolve));
    /** Opens a further address of the store; while it is shut, calls get 503 there. */
    const openDoor = async () => {
        const door = { isShut: false, address: "" };
        const turnAway = res => {
            if (!res.headersSent) {
                reply(res, 503, {});
            }
        };
        const doorServer = createServer((req, res) => {
            if (door.isShut) {
                req.resume();
                turnAway(res);
                return;
            }
            answer(req, res);
        });
        await new Promise(resolve => doorServer.listen(0, host, resolve));
        door.address = `${host}:${doorServer.address().port}`;
        return door;
    };
    return {
        address: `${host}:${server.address().port}`,
        openDoor,
        /** Number of records of a topic. */
        size: name => topicOf(name).records.length,
        /** Writes a record as an operator or a replica does; `key` may be bytes. */
        put: (topic, key, value) => {
            const name = Buffer.isBuffer(key) ? key : Buffer.from(key);
            const text = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
            return add(topic, Buffer.concat([Buffer.from([name.length]), name, text]));
        },
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
