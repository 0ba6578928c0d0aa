import type { IncomingMessage } from "node:http";

/** Reads a request's complete body. Rejects if the connection breaks before its end. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}
