import { createSwitches } from "../common/createSwitches.js";
import { header } from "../common/header.js";
import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { openHistory } from "../common/openHistory.js";
import { readBody } from "../common/readBody.js";
import { sendJson } from "../common/sendJson.js";
import { serve } from "../common/serve.js";
import { sleep } from "../common/sleep.js";
import { systemClock } from "../common/systemClock.js";
import type { ServiceFlags } from "./ServiceFlags.js";
import type { ServiceRun } from "./ServiceRun.js";
import { ServiceSwitches } from "./ServiceSwitches.js";

/** Answer to a call. It is kept because the switch `crossAnswers` sends it as the answer to the next call. */
type ServiceAnswer = { readonly dispatchId: string; readonly body: object; };

type Countdown = "loseAnswers" | "refuse" | "fail" | "crossAnswers";

/**
 * Starts a plain service that accepts any call, runs it each time it arrives, and numbers its runs.
 *
 * @returns the base URL
 */
export function startService(flags: ServiceFlags): Promise<string> {
    const switches = createSwitches(ServiceSwitches);
    switches.update({ delayMs: flags.delayMs, crashOn: flags.crashOn });
    const history = openHistory<ServiceRun>(flags.history);
    let previousAnswer: ServiceAnswer | undefined;

    const takeCountdown = (countdown: Countdown): boolean => {
        const left = switches.current()[countdown];
        if (left > 0) {
            switches.update({ [countdown]: left - 1 });
        }
        return left > 0;
    };
    const isCrashing = (path: string, body: string): boolean => {
        const { crashOn } = switches.current();
        return crashOn !== "" && (path.includes(crashOn) || body.includes(crashOn));
    };
    const recordRun = ({ req, method, path }: HttpRequest): ServiceRun => {
        const run: ServiceRun = {
            method,
            path,
            organisation: header(req, "x-organisation"),
            idempotencyKey: header(req, "idempotency-key"),
            dispatchId: header(req, "x-dispatch-id"),
            at: systemClock.now(),
        };
        history.add(run);
        return run;
    };
    const call = async (request: HttpRequest): Promise<void> => {
        const { req, res } = request;
        const body = (await readBody(req)).toString("utf8");
        if (takeCountdown("refuse")) {
            throw new HttpError(503, "Refused before running.", { "x-not-run": "1" });
        }
        const run = recordRun(request);
        if (isCrashing(run.path, body)) {
            process.exit(1);
        }
        await sleep(systemClock, switches.current().delayMs);
        if (switches.current().hang) {
            return;
        }
        if (takeCountdown("loseAnswers")) {
            req.socket.destroy();
            return;
        }
        if (takeCountdown("fail")) {
            throw new HttpError(500, "Failed while running.", { "x-dispatch-id": run.dispatchId ?? "" });
        }
        const ownAnswer: ServiceAnswer = {
            dispatchId: run.dispatchId ?? "",
            body: { service: flags.name, method: run.method, path: run.path, run: history.entries().length },
        };
        const sentAnswer = takeCountdown("crossAnswers") ? previousAnswer ?? ownAnswer : ownAnswer;
        previousAnswer = ownAnswer;
        sendJson(res, 200, sentAnswer.body, { "x-dispatch-id": sentAnswer.dispatchId });
    };

    return serve({
        ...flags,
        switches,
        routes: [
            { method: "GET", pattern: /^\/health$/, handle: ({ res }) => sendJson(res, 200, { ok: true }) },
            {
                method: "GET",
                pattern: /^\/runs$/,
                handle: ({ res }) => sendJson(res, 200, { runs: history.entries() }),
            },
            { method: undefined, pattern: /^\//, handle: call },
        ],
    });
}
