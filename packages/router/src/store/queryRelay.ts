import type { Millis } from "@azureshunt/core";

import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import { getBody } from "../dispatch/getBody.js";
import { decodeTopicAnswer } from "./decodeTopicAnswer.js";
import type { TopicAnswer } from "./TopicAnswer.js";

/**
 * A relay answers within about a millisecond. One that is slow or gone must not delay a read that the store can serve.
 */
const TIMEOUT_MS: Millis = 250;

type RelayQuery = {
    readonly topic: string;
    /** Offset of the first record; `undefined` for the newest record of every key. */
    readonly from: number | undefined;
    /** Whether the relay should read the store soon, as its copy may be too old although peers have confirmed it. */
    readonly isReadWanted: boolean;
};

/**
 * Reads a topic from a relay instead of from the store.
 *
 * @returns undefined if the relay does not answer or has no fresh copy
 */
export async function queryRelay(
    agent: EndpointAgent,
    address: string,
    { topic, from, isReadWanted }: RelayQuery,
): Promise<TopicAnswer | undefined> {
    const query = [...(from === undefined ? [] : [`from=${from}`]), ...(isReadWanted ? ["read=wanted"] : [])];
    const target = `/topics/${topic}${query.length === 0 ? "" : `?${query.join("&")}`}`;
    const body = await getBody(agent, address, target, TIMEOUT_MS);
    return body && decodeTopicAnswer(body);
}
