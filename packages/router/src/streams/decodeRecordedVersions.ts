import type { RecordedVersions } from "@azureshunt/continuation";
import { ServiceName } from "@azureshunt/core";
import { jsonOf } from "@azureshunt/http";
import { z } from "zod";

const Versions = z.array(z.string().nullable());

/**
 * Decodes a record of the software versions that a service has had lately.
 *
 * @returns undefined if it has been removed or is not valid
 */
export function decodeRecordedVersions(key: string, value: Buffer | undefined): RecordedVersions | undefined {
    const service = ServiceName.safeParse(key);
    const versions = Versions.safeParse(value === undefined ? undefined : jsonOf(value));
    return service.success && versions.success ? { service: service.data, versions: versions.data } : undefined;
}
