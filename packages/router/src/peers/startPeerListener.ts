import type { IncomingMessage, Server, ServerResponse } from "node:http";

import type { TunnelEnd } from "@azureshunt/completion";
import { jsonOf, readBody } from "@azureshunt/http";

import { CountsReport } from "../rollout/CountsReport.js";
import { startListener } from "../serve/startListener.js";
import { encodeTopicAnswer } from "../store/encodeTopicAnswer.js";
import type { TopicAnswer } from "../store/TopicAnswer.js";
import { TunnelDrainNotice } from "../tunnel/TunnelDrainNotice.js";
import type { TunnelEndAnswer } from "../tunnel/TunnelEndAnswer.js";
import { TunnelId } from "../tunnel/TunnelId.js";
import { boundUnanswered } from "./boundUnanswered.js";

/** What other VMs can request. */
type PeerListenerParts = {
    readonly address: string;
    /** Returns the configuration in the encoding of the store; `undefined` while there is none. */
    readonly configuration: () => Buffer | undefined;
    /** Applies a report on a rollout that this VM leads. */
    readonly receiveReport: (report: CountsReport) => void;
    /** Returns what this VM knows of where streams began; see `createStreamKeeper`. */
    readonly streams: (query: string) => Buffer;
    /** Returns how a tunnel ended that this VM has forwarded; `undefined` if it does not know. */
    readonly tunnelEnd: (id: TunnelId) => TunnelEnd | undefined;
    /** Closes tunnels that another VM forwards as soon as they carry no request. */
    readonly closeTunnels: (ids: ReadonlySet<TunnelId>) => void;
    /** By topic: returns this VM's answer in place of the store; `undefined` if it has no fresh one. */
    readonly topics: ReadonlyMap<
        string,
        (from: number | undefined, isReadWanted: boolean) => TopicAnswer | undefined
    >;
    /** Called with errors that reach nobody else; see `startListener`. */
    readonly onFault?: Parameters<typeof startListener>[2];
};

const OK = 200;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const TOPICS = "/topics/";
const REPORTS = "/rollout-counts";
const STREAMS = "/streams";
const TUNNELS = "/tunnels/";
const TUNNEL_DRAINS = "/tunnel-drains";
/** A report has one row per route, of some hundred bytes. */
const MAX_REPORT_BYTES = 256 * 1024;
/** A notice has an id of 36 characters for each tunnel. */
const MAX_NOTICE_BYTES = 64 * 1024;

const fromOf = (query: URLSearchParams): number | undefined | "bad" => {
    const text = query.get("from");
    return text === null ? undefined : /^\d{1,15}$/.test(text) ? Number(text) : "bad";
};

/**
 * Starts the HTTP listener for other VMs: `GET /configuration` for those that are cut off from the store,
 * `GET /topics/NAME?from=OFFSET&read=wanted`, in place of the store, for those of this VM's failure domain,
 * `POST /rollout-counts` for reports to the leader of rollouts, `GET /streams?id=ID` for VMs that have to continue
 * a stream, `GET /tunnels/ID` for VMs that have to know how a tunnel ended, and `POST /tunnel-drains` for VMs that stop
 * and forward tunnels of this one.
 */
export function startPeerListener(parts: PeerListenerParts): Promise<Server> {
    const end = (res: ServerResponse, body: Buffer | undefined): void => {
        res.writeHead(body === undefined ? UNAVAILABLE : OK);
        res.end(body);
    };
    const refuse = (res: ServerResponse, status: number): void => {
        res.writeHead(status);
        res.end();
    };
    const receiveReport = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const body = await readBody(req, MAX_REPORT_BYTES);
        const report = CountsReport.safeParse(jsonOf(body.orDefault(Buffer.alloc(0))));
        if (!report.success) {
            refuse(res, BAD_REQUEST);
            return;
        }
        parts.receiveReport(report.data);
        end(res, Buffer.alloc(0));
    };
    const receiveDrain = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const body = await readBody(req, MAX_NOTICE_BYTES);
        const notice = TunnelDrainNotice.safeParse(jsonOf(body.orDefault(Buffer.alloc(0))));
        if (!notice.success) {
            refuse(res, BAD_REQUEST);
            return;
        }
        parts.closeTunnels(new Set(notice.data.tunnels));
        end(res, Buffer.alloc(0));
    };
    const answerTunnelEnd = (res: ServerResponse, text: string): void => {
        const id = TunnelId.safeParse(text);
        const known = id.success ? parts.tunnelEnd(id.data) : undefined;
        if (known === undefined) {
            refuse(res, NOT_FOUND);
            return;
        }
        const answer: TunnelEndAnswer = { end: known };
        end(res, Buffer.from(JSON.stringify(answer)));
    };
    const handle = boundUnanswered((req, res) => {
        // `URL` would throw on some request targets.
        const [path = "", query = ""] = (req.url ?? "").split("?", 2);
        if (path === "/configuration") {
            end(res, parts.configuration());
            return undefined;
        }
        if (path === REPORTS) {
            return receiveReport(req, res);
        }
        if (path === STREAMS) {
            end(res, parts.streams(query));
            return undefined;
        }
        if (path === TUNNEL_DRAINS) {
            return receiveDrain(req, res);
        }
        if (path.startsWith(TUNNELS)) {
            answerTunnelEnd(res, path.slice(TUNNELS.length));
            return undefined;
        }
        const answer = path.startsWith(TOPICS) ? parts.topics.get(path.slice(TOPICS.length)) : undefined;
        if (answer === undefined) {
            refuse(res, NOT_FOUND);
            return undefined;
        }
        const search = new URLSearchParams(query);
        const from = fromOf(search);
        if (from === "bad") {
            refuse(res, BAD_REQUEST);
            return undefined;
        }
        const answered = answer(from, search.get("read") === "wanted");
        end(res, answered === undefined ? undefined : encodeTopicAnswer(answered));
        return undefined;
    });
    return startListener(parts.address, handle, parts.onFault);
}
