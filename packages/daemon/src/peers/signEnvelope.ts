import { createHmac } from "node:crypto";

/**
 * Signs a message between daemons with their shared secret.
 *
 * @param secret shared secret from the settings
 * @param to VM that receives the message, so that the signature is invalid on any other VM
 * @param bytes encoded envelope
 * @returns the HMAC-SHA256 in hexadecimal
 */
export function signEnvelope(secret: string, to: string, bytes: Uint8Array): string {
    return createHmac("sha256", secret).update(to).update("\0").update(bytes).digest("hex");
}
