import { createHash } from "node:crypto";

import type { AdapterName } from "./AdapterName.js";
import type { ModelName } from "./ModelName.js";
import type { OrganisationId } from "./OrganisationId.js";
import type { WeightsVersion } from "./WeightsVersion.js";

/** Scope of a cached prefix. Two requests share cached prefixes only if all four are equal. */
type CacheScope = {
    readonly organisation: OrganisationId;
    readonly model: ModelName;
    readonly adapter: AdapterName | undefined;
    readonly version: WeightsVersion;
};

/**
 * Derives the salt for the hashes of a prompt's pieces. It includes the organisation and the weights, so entries of
 * another organisation or of older weights cannot match.
 *
 * @returns 64 hexadecimal digits, sent to the engine as `cache_salt`
 */
export function cacheSalt(scope: CacheScope): string {
    const parts = [scope.organisation, scope.model, scope.adapter ?? "", scope.version];
    return createHash("sha256").update(JSON.stringify(parts)).digest("hex");
}
