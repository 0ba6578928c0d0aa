import { createHmac } from "node:crypto";

/**
 * Signs a message between daemons with the secret that they share.
 *
 * @param secret from the settings
 * @param to VM that the message is for, so that it is worth nothing elsewhere
 * @param bytes the encoded envelope
 * @returns the HMAC-SHA256 in hexadecimal
 */
export function signEnvelope(secret: string, to: string, bytes: Uint8Array): string {
    return createHmac("sha256", secret).update(to).update("\0").update(bytes).digest("hex");
}
