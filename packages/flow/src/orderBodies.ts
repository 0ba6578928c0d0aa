import type { WaitingBody } from "./WaitingBody.js";

/**
 * Returns bodies in the order in which they are read: by turns of their organisations, so that one with many callers
 * does not keep out the others; within an organisation by deadline, then by arrival.
 *
 * @param waiting in the order of their arrival
 * @param reservedOf bytes that are reserved for an organisation's bodies now
 */
export function orderBodies<Body extends WaitingBody>(
    waiting: readonly Body[],
    reservedOf: (organisation: string | undefined) => number,
): readonly Body[] {
    const taken = new Map<string | undefined, number>();
    return [...waiting]
        .sort((a, b) => a.deadline - b.deadline)
        .map(body => {
            const { organisation, bytes } = body;
            const before = taken.get(organisation) ?? reservedOf(organisation);
            taken.set(organisation, before + bytes);
            return { body, before };
        })
        .sort((a, b) => a.before - b.before)
        .map(({ body }) => body);
}
