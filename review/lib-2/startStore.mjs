// Stand-in for the platform's store: an append-only log with keyed topics, as PROTOCOL.md describes it.
import { createServer } from "node:http";

const LENGTH_BYTES = 4;
const frame = content => {
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
};
const uint64 = value => {
    const bytes = Buffer.alloc(8);
    bytes.writeBigUInt64BE(BigInt(value));
    return bytes;
};
const recordsIn = body => {
    const records = [];
    for (let at = 0; at < body.length;) {
        const end = at + LENGTH_BYTES + body.readUInt32BE(at);
        records.push(body.subarray(at + LENGTH_BYTES, end));
        at = end;
    }
    return records;
};
const readAll = async req => {
    const parts = [];
    for await (const part of req) {
        parts.push(part);
    }
    return Buffer.concat(parts);
};

/** Starts a store on a free loopback port; `onAppend` is told of each append. */
export const startStore = async (onAppend = () => undefined) => {
    const topics = new Map();
    const waiting = new Set();
    const topicOf = name => {
        if (!topics.has(name)) {
            topics.set(name, { records: [], newest: new Map() });
        }
        return topics.get(name);
    };
    const add = (name, record) => {
        const topic = topicOf(name);
        const offset = topic.records.push(record) - 1;
        if (name.startsWith("keyed.")) {
            const keyEnd = 1 + record[0];
            const key = record.subarray(1, keyEnd).toString();
            topic.newest.delete(key);
            if (record.length > keyEnd) {
                topic.newest.set(key, { value: record.subarray(keyEnd), offset });
            }
        }
        [...waiting].forEach(wake => wake());
        return offset;
    };
    const answer = (res, status, body) => {
        res.writeHead(status, { "Content-Type": "application/json" });
        res.end(JSON.stringify(body));
    };
    const serve = async (req, res) => {
        const url = new URL(req.url, "http://store");
        const query = url.searchParams;
        const name = query.get("Topic") ?? "";
        const topic = topicOf(name);
        if (url.pathname === "/log-append") {
            const body = await readAll(req);
            const end = topic.records.length;
            if (query.has("At") && Number(query.get("At")) !== end) {
                answer(res, 412, { End: end });
                return;
            }
            recordsIn(body).forEach(record => add(name, record));
            onAppend(name, body);
            answer(res, 200, { Offset: end, End: topic.records.length });
        }
        else if (url.pathname === "/log-newest") {
            const items = [...topic.newest].map(([Key, { value, offset }]) => ({ Key, Value: value.toString("base64"), Offset: offset }));
            answer(res, 200, { items, HasMore: false, End: topic.records.length });
        }
        else if (url.pathname === "/log-read") {
            const from = Number(query.get("From"));
            const until = Date.now() + Number(query.get("WaitMs") ?? 0);
            while (topic.records.length <= from && Date.now() < until && !res.destroyed) {
                await new Promise(resolve => {
                    const wake = () => {
                        waiting.delete(wake);
                        clearTimeout(timer);
                        resolve();
                    };
                    const timer = setTimeout(wake, until - Date.now());
                    waiting.add(wake);
                });
            }
            const page = [];
            let bytes = 0;
            for (const record of topic.records.slice(from)) {
                bytes += record.length;
                if (page.length > 0 && bytes > 1024 * 1024) {
                    break;
                }
                page.push(frame(record));
            }
            res.writeHead(200);
            res.end(Buffer.concat([uint64(topic.records.length), uint64(0), ...page]));
        }
        else {
            answer(res, 404, {});
        }
    };
    const server = createServer((req, res) => void serve(req, res).catch(() => res.destroy()));
    server.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        put: (topic, key, value) => {
            const name = Buffer.from(key);
            add(topic, Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value === undefined ? "" : JSON.stringify(value))]));
        },
        /** Writes bytes that need not be JSON. */
        raw: (topic, key, value) => {
            const name = Buffer.from(key);
            add(topic, Buffer.concat([Buffer.from([name.length]), name, value]));
        },
        newest: (topic, key) => topicOf(topic).newest.get(key)?.value.toString(),
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
