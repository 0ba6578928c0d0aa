import type { ServiceName } from "@azureshunt/core";
import test from "ava";

import { chooseService } from "../../configuration/chooseService.js";
import { findRoute } from "../../configuration/findRoute.js";
import type { RouteName } from "../../configuration/RouteName.js";
import { routingOf } from "../support/routingOf.js";

const { routes } = routingOf(1, [
    { name: "root" as RouteName, pathPrefix: "/" },
    { name: "deep" as RouteName, pathPrefix: "/x/y/" },
    { name: "mid" as RouteName, pathPrefix: "/x/" },
    { name: "other" as RouteName, host: "b.example", pathPrefix: "/x/" },
]);

const cases = [
    { host: "a.example", target: "/x/y/z", route: "deep" },
    { host: "a.example", target: "/x/y", route: "mid" },
    { host: "a.example", target: "/x?to=/x/y/", route: "root" },
    { host: "A.Example", target: "/x/1", route: "mid" },
    { host: "b.example", target: "/x/1", route: "other" },
    { host: "b.example", target: "/", route: undefined },
    { host: "c.example", target: "/x/1", route: undefined },
] as const;

cases.forEach(({ host, target, route }) => {
    test(`findRoute: ${host}${target} finds ${route ?? "no route"}`, t => {
        t.is(findRoute(routes, host, target)?.name as string | undefined, route);
    });
});

const split = routingOf(1, [{
    targets: [
        { service: "a" as ServiceName, weight: 90 },
        { service: "b" as ServiceName, weight: 10 },
        { service: "c" as ServiceName, weight: 0 },
    ],
}]).routes[0];

const draws = [
    { draw: 0, service: "a" },
    { draw: 0.899, service: "a" },
    { draw: 0.9, service: "b" },
    { draw: 0.999, service: "b" },
] as const;

draws.forEach(({ draw, service }) => {
    test(`chooseService: draw ${draw} chooses ${service}`, t => {
        t.is(split === undefined ? undefined : chooseService(split, draw) as string | undefined, service);
    });
});
