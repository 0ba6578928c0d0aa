import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";
import type { Either } from "purify-ts";

import type { DirectoryWire } from "../ports/DirectoryWire.js";
import type { ReadOrigin } from "./ReadOrigin.js";

type Declaration = ReturnType<DirectoryWire["decodeDeclaration"]> extends Either<string, infer Decoded> ? Decoded
    : never;

/** Decodes declarations, and remembers which of them the topic holds in a form that cannot be decoded. */
type DeclarationDecoder = {
    /** Returns `undefined` if the record cannot be decoded, which is counted and logged. */
    readonly decode: (key: string, value: Buffer, origin: ReadOrigin) => Declaration | undefined;
    /**
     * Returns whether the newest configuration in the topic could be decoded. Records of other declarations say nothing
     * about it, nor does a copy that a peer sent.
     */
    readonly isConfigurationReadable: () => boolean;
};

/** Creates a decoder that has decoded nothing yet. */
export function createDeclarationDecoder(
    { wire, logger, metrics }: { readonly wire: DirectoryWire; readonly logger: Logger; readonly metrics: Metrics; },
): DeclarationDecoder {
    const state = { configurationKey: undefined as string | undefined };
    const unreadableKeys = new Set<string>();
    return {
        decode: (key, value, origin) => {
            const decoded = wire.decodeDeclaration(key, value);
            decoded.ifLeft(fault => {
                metrics.count("azureshunt_unreadable_total", "Records that could not be read.", {
                    what: "declaration",
                });
                logger.warn(
                    { key, fault, ...origin },
                    "Decoding a declaration failed; the last valid one stays in force.",
                );
            });
            const declaration = decoded.toMaybe().extract();
            if (declaration?.kind === "configuration") {
                state.configurationKey = key;
            }
            if (origin.from !== "peer" && declaration === undefined) {
                unreadableKeys.add(key);
            }
            else if (origin.from !== "peer") {
                unreadableKeys.delete(key);
            }
            return declaration;
        },
        isConfigurationReadable: () =>
            state.configurationKey !== undefined && !unreadableKeys.has(state.configurationKey),
    };
}
