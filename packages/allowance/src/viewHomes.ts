import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { HeldGrant } from "./HeldGrant.js";
import type { Home } from "./Home.js";
import type { HomeView } from "./HomeView.js";
import { outstandingOf } from "./outstandingOf.js";
import { timing } from "./timing.js";

const viewOwn = ({ vm, bucket, servesFrom, barredSince }: Allowance, now: Millis): HomeView =>
    servesFrom === undefined || bucket === undefined
        ? { home: vm, state: "barred", forMs: now - (barredSince ?? now), free: 0, elsewhere: 0 }
        : { home: vm, state: "here", forMs: 0, free: bucket.balance, elsewhere: outstandingOf(bucket) };

const stateOf = (held: HeldGrant, now: Millis): Pick<HomeView, "state" | "forMs"> => {
    if (held.decliningSince !== undefined) {
        return { state: "declining", forMs: now - held.decliningSince };
    }
    if (held.failedAt !== undefined) {
        return { state: "unanswered", forMs: now - held.failedAt };
    }
    const forMs = now - held.answeredAt;
    return { state: forMs < timing.freshMs ? "heard" : "unheard", forMs };
};

const viewOther = ({ vm }: Home, held: HeldGrant | undefined, now: Millis): HomeView =>
    held === undefined
        ? { home: vm, state: "unheard", forMs: Infinity, free: 0, elsewhere: 0 }
        : { home: vm, ...stateOf(held, now), free: held.free, elsewhere: held.elsewhere };

/** Describes each home of an organisation as known to this VM, for logs. */
export function viewHomes(allowance: Allowance, now: Millis): readonly HomeView[] {
    return allowance.homes.map(home =>
        home.vm === allowance.vm
            ? viewOwn(allowance, now)
            : viewOther(home, allowance.held.find(held => held.home === home.vm), now)
    );
}
