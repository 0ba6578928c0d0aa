import type { Millis } from "@azureshunt/core";

import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import { getBody } from "../dispatch/getBody.js";
import { decodeTopicAnswer } from "./decodeTopicAnswer.js";
import type { TopicAnswer } from "./TopicAnswer.js";

/**
 * A relay answers within about a millisecond. One that is slow or gone must not delay a read that the store can serve.
 */
const TIMEOUT_MS: Millis = 250;

/**
 * Reads a topic from a relay instead of from the store.
 *
 * @param from offset of the first record; `undefined` for the newest record of every key
 * @returns undefined if the relay does not answer or has no fresh copy
 */
export async function queryRelay(
    agent: EndpointAgent,
    address: string,
    topic: string,
    from: number | undefined,
): Promise<TopicAnswer | undefined> {
    const target = `/topics/${topic}${from === undefined ? "" : `?from=${from}`}`;
    const body = await getBody(agent, address, target, TIMEOUT_MS);
    return body && decodeTopicAnswer(body);
}
