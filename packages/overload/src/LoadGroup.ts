import type { OrganisationId } from "@azureshunt/core";

import type { restGroup } from "./restGroup.js";

/**
 * Who shares load with others: an organisation, all callers without a valid key (`undefined`), or all organisations
 * beyond the number that is distinguished.
 */
export type LoadGroup = OrganisationId | undefined | typeof restGroup;
