import type { CostStage } from "./CostStage.js";
import type { CpuProfile } from "./CpuProfile.js";

/** The first rule that matches `URL:FUNCTION` of a frame decides; frames that none matches leave it to their caller. */
const RULES: readonly (readonly [RegExp, CostStage])[] = [
    [
        /node_modules\/(pino|sonic-boom|atomic-sleep|quick-format-unescaped)|createLoggers|createRequestNotes|isSampled/,
        "log",
    ],
    [/telemetry\/|hdr-histogram-js|createRetryBudgets|createStreamKeeper|recordOrigin/, "account"],
    [
        /serve\/(placeRequest|selectEndpoints|createPromptShares)|router\/dist\/placement\/|packages\/(endpoint|brittle|limit)\//,
        "place",
    ],
    [
        /serve\/admitRequest|createRequestHandler\.js:(admit|charge)$|router\/dist\/(allowance|quarantine|configuration)\//,
        "admit",
    ],
    [
        /serve\/(runTry|forward|headTimeout|judgeHead)|router\/dist\/(dispatch|tunnel)\/|endpointWire|node:_http_client|createRequestHandler\.js:finish$|forwardAnswerHeaders/,
        "forward",
    ],
    [
        /serve\/|callerWire|packages\/http\/|node:_http_server|node:_http_incoming|node:net:(onconnection|Socket)$/,
        "accept",
    ],
    [/router\/dist\//, "other"],
];

/** Frames whose time is no work on requests: waiting, and loading modules at the start. */
const NO_WORK = /:\(idle\)$|node:internal\/(modules|main|bootstrap)\//;

const stageOfFrame = ({ url, functionName }: CpuProfile["nodes"][number]["callFrame"]): CostStage | undefined =>
    RULES.find(([pattern]) => pattern.test(`${url}:${functionName}`))?.[1];

/**
 * Returns which share of the work of a profiled process went to each stage. Samples are counted, not the time between
 * them, in which a process on a busy machine may have been waiting for a processor.
 */
export function stageShares({ nodes, samples }: CpuProfile): Readonly<Record<CostStage, number>> {
    const byId = new Map(nodes.map(node => [node.id, node]));
    const stageOf = new Map<number, CostStage>();
    const visit = (id: number, ofCaller: CostStage): void => {
        const node = byId.get(id);
        if (node !== undefined) {
            const { url, functionName } = node.callFrame;
            if (NO_WORK.test(`${url}:${functionName}`)) {
                return;
            }
            const stage = stageOfFrame(node.callFrame) ?? ofCaller;
            stageOf.set(id, stage);
            node.children?.forEach(child => visit(child, stage));
        }
    };
    visit(nodes[0]?.id ?? 0, "other");
    const counts = { accept: 0, admit: 0, place: 0, forward: 0, account: 0, log: 0, other: 0 };
    samples.forEach(id => {
        const stage = stageOf.get(id);
        if (stage !== undefined) {
            counts[stage] += 1;
        }
    });
    const total = Object.values(counts).reduce((sum, each) => sum + each, 0);
    const shareOf = (stage: CostStage): number => total === 0 ? 0 : counts[stage] / total;
    return {
        accept: shareOf("accept"),
        admit: shareOf("admit"),
        place: shareOf("place"),
        forward: shareOf("forward"),
        account: shareOf("account"),
        log: shareOf("log"),
        other: shareOf("other"),
    };
}
