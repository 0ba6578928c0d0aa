import { readFileSync, writeFileSync } from "node:fs";

import { callHttp } from "../topology/callHttp.js";
import type { DaemonProcess } from "../topology/DaemonProcess.js";
import { waitUntil } from "../topology/waitUntil.js";

const TIMEOUT_MS = 10_000;
const STATUS_OK = 200;

/** Restarts a daemon with settings that make it reach the platform through the route `platform` of a link. */
export async function routeThroughLink(daemon: DaemonProcess, platformUrl: string, linkUrl: string): Promise<void> {
    const { text } = await callHttp({ method: "GET", url: `${linkUrl}/routes` });
    const { routes } = JSON.parse(text) as { readonly routes: Readonly<Record<string, string>>; };
    const settings = readFileSync(daemon.settingsFile, "utf8");
    writeFileSync(daemon.settingsFile, settings.replaceAll(platformUrl, `http://${routes["platform"] ?? ""}`));
    daemon.process().signal("SIGTERM");
    await daemon.process().exited;
    daemon.restart();
    await waitUntil(`${daemon.vm} to listen`, TIMEOUT_MS, async () => {
        const { status } = await callHttp({ method: "GET", url: `${daemon.caller}/healthz` });
        return status === STATUS_OK;
    });
}
