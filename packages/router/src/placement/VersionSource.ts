import type { ModelName, VmId } from "@azureshunt/core";

/** Who stated the version of an engine's weights that a VM goes by. */
export type VersionSource = {
    readonly by: "engine" | VmId;
    /** The model that was stated; `undefined` if the statement named none. */
    readonly model: ModelName | undefined;
};
