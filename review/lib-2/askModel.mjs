import { request } from "node:http";

/**
 * Sends a request for a model as a caller does, each on a connection of its own.
 *
 * @returns its status or the code of its error, the body, whether that is whole, and when the request was sent and ended
 */
export const askModel = (node, { id, path, model, prefix, tokens = "100,10", key = "key0", deadlineMs = 15_000 }) =>
    new Promise(resolve => {
        const sentAt = Date.now();
        const settle = answer => resolve({ id, node: node.name, model, sentAt, endedAt: Date.now(), ...answer });
        const req = request({
            host: node.host,
            port: node.port,
            method: "POST",
            path,
            agent: false,
            headers: {
                "Host": "h.example",
                "X-Azureshunt-Request-Id": id,
                "X-Azureshunt-Model": model,
                "X-Azureshunt-Token-Usage": tokens,
                "X-Azureshunt-Prompt-Prefix": prefix,
                "X-Azureshunt-Deadline-Ms": String(deadlineMs),
                "X-Azureshunt-Key": key,
                "Content-Length": "2",
            },
        }, res => {
            const parts = [];
            res.on("data", part => parts.push(part));
            res.on("error", () => undefined);
            res.on("close", () =>
                settle({ status: res.statusCode, body: Buffer.concat(parts).toString(), isWhole: res.complete }));
        });
        req.on("error", err => settle({ status: err.code, body: "", isWhole: false }));
        req.end("{}");
    });
