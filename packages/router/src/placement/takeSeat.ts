import type { Clock, Millis, Tokens } from "@azureshunt/core";

import type { Dealings } from "./Dealings.js";
import type { EndpointSeat } from "./EndpointSeat.js";
import { healthAfterTry } from "./healthAfterTry.js";
import type { InFlight } from "./InFlight.js";

type SeatParts = {
    readonly clock: Clock;
    /** Undefined where the endpoint has left since it was chosen. */
    readonly own: Dealings | undefined;
    readonly sizes: { readonly missingTokens: Tokens; readonly memoryTokens: Tokens; readonly expectedMs: Millis; };
    /** The endpoint gets no work for a while, given how the try ended. */
    readonly onPaused: (inputs: object) => void;
};

/** Whatever has given a sign of life so lately is not dark, only busy. */
const ALIVE_MS: Millis = 400;

/** Notes a request at an endpoint, from its sending to its end. */
export function takeSeat({ clock, own, sizes, onPaused }: SeatParts): EndpointSeat {
    const sentAt = clock.now();
    const { expectedMs, ...tokens } = sizes;
    const seat: { current: InFlight; } = {
        current: { sentAt, expectedAt: sentAt + expectedMs, ...tokens, isAnswering: false },
    };
    const replace = (next: InFlight | undefined): void => {
        if (own !== undefined) {
            const others = own.inFlight.filter(each => each !== seat.current);
            own.inFlight = next === undefined ? others : [...others, next];
            seat.current = next ?? seat.current;
        }
    };
    replace(seat.current);
    return {
        answering: () => replace({ ...seat.current, isAnswering: true }),
        sign: () => {
            if (own !== undefined) {
                own.lastSignAt = clock.now();
            }
        },
        isAlive: () => own !== undefined && clock.now() - own.lastSignAt < ALIVE_MS,
        end: outcome => {
            replace(undefined);
            if (own === undefined) {
                return;
            }
            const { downUntil } = own.health;
            own.health = healthAfterTry(own.health, outcome, clock.now());
            if (own.health.downUntil > downUntil) {
                const { failureRate, unreachedInRow } = own.health;
                onPaused({ outcome, failureRate, unreachedInRow });
            }
        },
    };
}
