import type { StatedOrigin } from "./StatedOrigin.js";

/** Encodes a stream's origin as `OriginRow` decodes it. */
export function encodeOrigin({ id, origin, leftMs }: StatedOrigin): readonly unknown[] {
    const left = Math.round(leftMs);
    return origin === "ambiguous"
        ? [id, left, null, null, null, 0, 0]
        : [
            id,
            left,
            origin.service,
            origin.softwareVersion ?? null,
            origin.first?.name ?? null,
            origin.first?.bornAt ?? 0,
            origin.first?.eventAt ?? 0,
        ];
}
