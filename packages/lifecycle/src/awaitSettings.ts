import type { Either } from "purify-ts";

import { judgeSettingsFault } from "./judgeSettingsFault.js";
import type { SettingsFault } from "./SettingsFault.js";
import type { StartContext } from "./StartContext.js";
import { StartFailure } from "./StartFailure.js";

type SettingsParts<T> = {
    readonly read: () => Either<SettingsFault, T>;
    readonly context: Pick<StartContext, "signal" | "log">;
};

const RETRY_MS = 100;

/**
 * Reads settings, and waits for them while their file is missing or half written.
 *
 * @throws StartFailure with the fault's line if they are wrong, or missing for too long, or once the start is aborted
 */
export async function awaitSettings<T>({ read, context }: SettingsParts<T>): Promise<T> {
    const beganAt = performance.now();
    const state = { text: undefined as string | undefined, changedAt: beganAt, isWaiting: false };
    for (;;) {
        const result = read();
        if (result.isRight()) {
            return result.extract() as T;
        }
        const fault = result.extract() as SettingsFault;
        const now = performance.now();
        if (fault.text !== state.text) {
            state.text = fault.text;
            state.changedAt = now;
        }
        const verdict = judgeSettingsFault({
            isMissing: (fault.text ?? "").trim() === "",
            faultMs: now - beganAt,
            unchangedMs: now - state.changedAt,
        });
        if (verdict === "give-up" || context.signal.aborted) {
            throw new StartFailure("bad-settings", fault.line);
        }
        if (!state.isWaiting) {
            state.isWaiting = true;
            context.log("warn", { fault: fault.line }, "Waiting for usable settings.");
        }
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
}
