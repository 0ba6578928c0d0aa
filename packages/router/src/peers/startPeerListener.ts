import type { IncomingMessage, Server, ServerResponse } from "node:http";

import { jsonOf, readBody } from "@azureshunt/http";

import { CountsReport } from "../rollout/CountsReport.js";
import { startListener } from "../serve/startListener.js";
import { encodeTopicAnswer } from "../store/encodeTopicAnswer.js";
import type { TopicAnswer } from "../store/TopicAnswer.js";

/** What other VMs can request. */
type PeerListenerParts = {
    readonly address: string;
    /** Returns the configuration in the encoding of the store; `undefined` while there is none. */
    readonly configuration: () => Buffer | undefined;
    /** Applies a report on a rollout that this VM leads. */
    readonly receiveReport: (report: CountsReport) => void;
    /** Returns what this VM knows of where streams began; see `createStreamKeeper`. */
    readonly streams: (query: string) => Buffer;
    /** By topic: returns this VM's answer in place of the store; `undefined` if it has no fresh one. */
    readonly topics: ReadonlyMap<
        string,
        (from: number | undefined, isReadWanted: boolean) => TopicAnswer | undefined
    >;
};

const OK = 200;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const TOPICS = "/topics/";
const REPORTS = "/rollout-counts";
const STREAMS = "/streams";
/** A report has one row per route, of some hundred bytes. */
const MAX_REPORT_BYTES = 256 * 1024;

const fromOf = (query: URLSearchParams): number | undefined | "bad" => {
    const text = query.get("from");
    return text === null ? undefined : /^\d{1,15}$/.test(text) ? Number(text) : "bad";
};

/**
 * Starts the HTTP listener for other VMs: `GET /configuration` for those that are cut off from the store,
 * `GET /topics/NAME?from=OFFSET&read=wanted`, in place of the store, for those of this VM's failure domain,
 * `POST /rollout-counts` for reports to the leader of rollouts, and `GET /streams?id=ID` for VMs that have to continue
 * a stream.
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
    return startListener(parts.address, (req, res) => {
        // `URL` would throw on some request targets.
        const [path = "", query = ""] = (req.url ?? "").split("?", 2);
        if (path === "/configuration") {
            end(res, parts.configuration());
            return;
        }
        if (path === REPORTS) {
            void receiveReport(req, res);
            return;
        }
        if (path === STREAMS) {
            end(res, parts.streams(query));
            return;
        }
        const answer = path.startsWith(TOPICS) ? parts.topics.get(path.slice(TOPICS.length)) : undefined;
        if (answer === undefined) {
            refuse(res, NOT_FOUND);
            return;
        }
        const search = new URLSearchParams(query);
        const from = fromOf(search);
        if (from === "bad") {
            refuse(res, BAD_REQUEST);
            return;
        }
        const answered = answer(from, search.get("read") === "wanted");
        end(res, answered === undefined ? undefined : encodeTopicAnswer(answered));
    });
}
